package io.siskintrail.internal.ledger;

import io.siskintrail.lib.EndpointId;

/** What an {@link OrderFlow} wants done. */
public sealed interface OrderEffect {

    /**
     * Propose a command to the log.
     *
     * @param proposal the number to give with the answer; a repeated proposal keeps its number
     * @param command the command
     */
    record Propose(long proposal, LedgerCommand command) implements OrderEffect {}

    /**
     * Send the order to an endpoint, once, with no retry below.
     *
     * @param call the number to give with the result
     * @param request the request whose content is to be sent
     * @param key the order
     * @param endpoint where to
     * @param answerMillis how long to wait for the whole answer
     */
    record Call(long call, long request, OrderKey key, EndpointId endpoint, long answerMillis)
            implements OrderEffect {}

    /**
     * Answer a caller. Each request is told one outcome.
     *
     * @param request the request
     * @param outcome what to say
     */
    record Tell(long request, OrderOutcome outcome) implements OrderEffect {}

    /**
     * Drop the content of a request: no call will be made with it any more.
     *
     * @param request the request
     */
    record Forget(long request) implements OrderEffect {}
}
