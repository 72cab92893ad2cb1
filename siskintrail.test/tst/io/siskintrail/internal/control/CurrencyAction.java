package io.siskintrail.internal.control;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One action of the fuzzer.
 *
 * @param kind what happens
 * @param a a host
 * @param b another host
 * @param amount a time in milliseconds or a choice, from 0 to 999
 */
record CurrencyAction(Kind kind, int a, int b, int amount) {
    static final int MAX_AMOUNT = 999;

    enum Kind {
        RUN,
        RUN_ON,
        KILL,
        RESTART,
        PAUSE,
        RESUME,
        STOP_CONTROL,
        START_CONTROL,
        BLOCK_ONE_WAY,
        ISOLATE,
        ISOLATE_CONTROL_LONG,
        SPLIT,
        SWING,
        HEAL,
        EDIT,
        RACE,
        LOSE_MESSAGES,
        CHANGE_HOSTS,
        DRAIN
    }

    /** Each kind, those that let edits through more than once. */
    static final List<Kind> WEIGHTED = weighted();

    private static List<Kind> weighted() {
        List<Kind> kinds = new ArrayList<>(List.of(Kind.values()));
        kinds.addAll(List.of(Kind.HEAL, Kind.HEAL, Kind.HEAL, Kind.RUN, Kind.RUN_ON));
        kinds.addAll(List.of(Kind.RESTART, Kind.START_CONTROL, Kind.START_CONTROL));
        kinds.addAll(List.of(Kind.EDIT, Kind.EDIT, Kind.RACE, Kind.RESUME));
        return List.copyOf(kinds);
    }

    static CurrencyAction random(SplittableRandom random) {
        return new CurrencyAction(
                WEIGHTED.get(random.nextInt(WEIGHTED.size())),
                random.nextInt(CurrencyFuzz.HOSTS),
                random.nextInt(CurrencyFuzz.HOSTS),
                random.nextInt(MAX_AMOUNT + 1));
    }
}
