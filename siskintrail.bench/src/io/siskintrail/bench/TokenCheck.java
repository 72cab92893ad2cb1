package io.siskintrail.bench;

import java.util.List;

/** Compares the tokens of an answer with the right ones. */
final class TokenCheck {

    private TokenCheck() {}

    /** Returns the first offset at which the lists differ, -1 when they are equal. */
    static long firstDifference(List<Integer> expected, List<Integer> actual) {
        int common = Math.min(expected.size(), actual.size());
        for (int i = 0; i < common; i++) {
            if (!expected.get(i).equals(actual.get(i))) {
                return i;
            }
        }
        return expected.size() == actual.size() ? -1 : common;
    }
}
