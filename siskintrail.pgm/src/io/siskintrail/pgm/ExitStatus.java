package io.siskintrail.pgm;

import io.siskintrail.lib.ResultCode;

/** Numbers the outcomes of a command for scripts; the table is in docs/RESULT-CODES.md. */
enum ExitStatus {
    OK(0),
    FAILED(1),
    USAGE(2),
    REFUSED(3),
    PENDING(4),
    UNREACHABLE(5);

    private final int number;

    ExitStatus(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    /** Returns the status that goes with the number of a result code. */
    static ExitStatus of(int code) {
        if (code == ResultCode.OK.number()) {
            return OK;
        }
        if (code == ResultCode.RULES_PENDING.number()
                || code == ResultCode.CONTROL_OUTCOME_UNKNOWN.number()) {
            return PENDING;
        }
        if (code == ResultCode.CONTROL_UNREACHABLE.number()
                || code == ResultCode.CONTROL_UNAVAILABLE.number()) {
            return UNREACHABLE;
        }
        boolean settings = code >= 2000 && code < 3000;
        boolean rules = code >= 3000 && code < 4000;
        if (settings && code != ResultCode.BAD_ANSWER.number()) {
            return USAGE;
        }
        return rules ? REFUSED : FAILED;
    }
}
