package io.siskintrail.internal.rollout;

/** What a simulated new version does, and what disturbs both versions. */
enum RolloutKind {
    GOOD(false),
    FEW_BAD_ANSWERS(false),
    NEW_ENDPOINT_FAILS(false),
    OLD_ENDPOINT_FAILS(false),
    DOMAINS_LOST(false),
    FAILS_5(true),
    FAILS_30(true),
    SLOW_3(true),
    SLOW_8(true),
    PART_SLOW_4(true),
    FAILS_30_LATE(true),
    SLOW_4_LATE(true),
    FAILS_30_UNDER_LOAD(true),
    SLOW_5_UNDER_LOAD(true),
    FAILS_30_ON_ONE_ROUTE(true),
    SLOW_5_ON_ONE_ROUTE(true);

    final boolean bad;

    RolloutKind(boolean bad) {
        this.bad = bad;
    }

    /** Returns whether the fault shows on a route, from {@code start} on, at a share of traffic. */
    boolean shows(int route, boolean started, boolean loaded) {
        return switch (this) {
            case FAILS_30_LATE, SLOW_4_LATE -> started;
            case FAILS_30_UNDER_LOAD, SLOW_5_UNDER_LOAD -> loaded;
            case FAILS_30_ON_ONE_ROUTE, SLOW_5_ON_ONE_ROUTE -> route == 1;
            default -> bad;
        };
    }

    double failureRate() {
        return switch (this) {
            case FAILS_5 -> 0.05;
            case FAILS_30, FAILS_30_LATE, FAILS_30_UNDER_LOAD, FAILS_30_ON_ONE_ROUTE -> 0.3;
            default -> 0;
        };
    }

    double slowdown() {
        return switch (this) {
            case SLOW_3 -> 3;
            case SLOW_8 -> 8;
            case PART_SLOW_4, SLOW_4_LATE -> 4;
            case SLOW_5_UNDER_LOAD, SLOW_5_ON_ONE_ROUTE -> 5;
            default -> 1;
        };
    }

    /** Returns the part of the answers that are slow while the fault shows. */
    double slowPart() {
        return this == PART_SLOW_4 ? 0.3 : 1;
    }
}
