package io.siskintrail.internal.policy;

import io.siskintrail.lib.ResultCode;
import java.util.EnumMap;
import java.util.Map;

/** Counters of the requests of one client account. */
final class AccountStats {
    long started;
    long joined;
    long suspended;
    double servedCost;
    private final Map<ResultCode, Long> refused = new EnumMap<>(ResultCode.class);

    void recordRefusal(ResultCode code) {
        refused.merge(code, 1L, Long::sum);
    }

    Map<ResultCode, Long> refused() {
        return new EnumMap<>(refused);
    }
}
