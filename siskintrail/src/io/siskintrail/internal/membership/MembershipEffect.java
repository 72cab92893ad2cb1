package io.siskintrail.internal.membership;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.HostId;

/** What a {@link Membership} wants done. */
public sealed interface MembershipEffect {

    /**
     * Send a message to a host, best effort.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(HostId to, MembershipMessage message) implements MembershipEffect {}

    /**
     * Ask an endpoint itself whether it takes work; nothing is said when it does not answer.
     *
     * @param check the number to give with the answer
     * @param info the endpoint
     */
    record Check(long check, EndpointInfo info) implements MembershipEffect {}

    /**
     * Answers a {@link MembershipInput.Confirm}.
     *
     * @param request its number
     * @param endpoint the endpoint
     * @param usable whether new work may go there now
     */
    record Confirmed(long request, EndpointId endpoint, boolean usable)
            implements MembershipEffect {}

    /**
     * A host changed its state.
     *
     * @param host the host
     * @param state what is now held of it
     */
    record HostChanged(HostId host, HostState state) implements MembershipEffect {}
}
