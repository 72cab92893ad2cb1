package io.siskintrail.bench.inforce;

import io.siskintrail.internal.control.FollowerSettings;
import io.siskintrail.lib.HostId;
import java.util.List;

/** A way to decide that a host may take new work, made from the settings of the follower. */
enum Strategy {
    /** The leader confirms, or a majority of all hosts does. */
    LEADER_OR_MAJORITY {
        @Override
        FollowerSettings settings(HostId self, HostId control) {
            return FollowerSettings.of(self, List.of(control), self.hashCode());
        }
    },
    /** The same with a confirmation that holds 5 s, for many hosts. */
    LEADER_OR_MAJORITY_5S {
        private static final long ASK_MILLIS = 1_000;
        private static final long FALLBACK_MILLIS = 2_000;
        private static final long VALID_MILLIS = 5_000;

        @Override
        FollowerSettings settings(HostId self, HostId control) {
            return new FollowerSettings(
                    self,
                    List.of(control),
                    self.hashCode(),
                    ASK_MILLIS,
                    FALLBACK_MILLIS,
                    VALID_MILLIS);
        }
    },
    /** Only the leader confirms. */
    LEADER_ONLY {
        @Override
        FollowerSettings settings(HostId self, HostId control) {
            FollowerSettings s = LEADER_OR_MAJORITY.settings(self, control);
            return with(s, Long.MAX_VALUE, s.validMillis());
        }
    },
    /** Every host goes on with the last rules it has. */
    SERVE_STALE {
        @Override
        FollowerSettings settings(HostId self, HostId control) {
            FollowerSettings s = LEADER_OR_MAJORITY.settings(self, control);
            return with(s, Long.MAX_VALUE, Long.MAX_VALUE / 8);
        }
    };

    abstract FollowerSettings settings(HostId self, HostId control);

    private static FollowerSettings with(FollowerSettings s, long fallback, long valid) {
        return new FollowerSettings(
                s.self(), s.controlHosts(), s.firstNonce(), s.askMillis(), fallback, valid);
    }
}
