package io.siskintrail.bench.promises;

/**
 * Whether a promise was kept.
 *
 * @param promise the promise
 * @param checked how many cases were looked at
 * @param breaches how many of them broke it
 * @param first what the first breach was, empty for none
 */
record Verdict(Promise promise, int checked, int breaches, String first) {

    boolean kept() {
        return breaches == 0;
    }

    /** Returns the line that a run prints. */
    String line() {
        String result = kept() ? "ok" : "breached";
        String tail = kept() ? "" : " first=\"" + first + "\"";
        return "promise=%s result=%s checked=%d breaches=%d%s"
                .formatted(promise, result, checked, breaches, tail);
    }
}
