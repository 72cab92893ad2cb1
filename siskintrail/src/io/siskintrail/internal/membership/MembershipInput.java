package io.siskintrail.internal.membership;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.HostId;
import java.util.Set;

/** What a {@link Membership} is told. */
public sealed interface MembershipInput {

    /**
     * An endpoint announced itself to this router. The announcement may have waited in a socket
     * while this router was paused, so by itself it proves nothing of now; the stamp does.
     *
     * @param info what it said
     * @param stampMillis the time at which this router, in this start, gave the answer that the
     *     endpoint echoes; {@link #NO_STAMP} when it echoes none
     */
    record Announced(EndpointInfo info, long stampMillis) implements MembershipInput {
        /** Stands for no stamp. */
        public static final long NO_STAMP = Long.MIN_VALUE;
    }

    /**
     * A message of another host arrived.
     *
     * @param from the sender
     * @param message the message
     */
    record Received(HostId from, MembershipMessage message) implements MembershipInput {}

    /**
     * New work wants an endpoint; answered by {@link MembershipEffect.Confirmed}.
     *
     * @param request a number that the shell gives
     * @param endpoint the endpoint
     */
    record Confirm(long request, EndpointId endpoint) implements MembershipInput {}

    /**
     * An endpoint answered a {@link MembershipEffect.Check}.
     *
     * @param check the number of the check
     * @param incarnation the incarnation that answered
     * @param leaving whether it takes no new work
     */
    record Checked(long check, long incarnation, boolean leaving) implements MembershipInput {}

    /**
     * The hosts of the deployment changed.
     *
     * @param hosts all hosts
     */
    record HostsChanged(Set<HostId> hosts) implements MembershipInput {

        /** Copies the set. */
        public HostsChanged {
            hosts = Set.copyOf(hosts);
        }
    }

    /** Time has passed; to be given every {@link Membership#TICK_MILLIS}. */
    record Tick() implements MembershipInput {}
}
