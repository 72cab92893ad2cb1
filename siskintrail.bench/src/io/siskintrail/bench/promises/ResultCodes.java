package io.siskintrail.bench.promises;

import io.siskintrail.lib.ResultCode;
import java.util.Arrays;

/** Sorts result codes by what they promise. */
final class ResultCodes {

    private ResultCodes() {}

    /** Returns whether the code tells the caller that its request did not run. */
    static boolean isNotRun(int number) {
        return Arrays.stream(ResultCode.values())
                .anyMatch(c -> c.number() == number && c.name().contains("NOT_RUN"));
    }
}
