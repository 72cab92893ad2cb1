package io.siskintrail.internal.ledger;

/** What an {@link OrderFlow} is told. */
public sealed interface OrderInput {

    /**
     * A caller placed an order.
     *
     * @param request a number that the shell gives the request; never used twice
     * @param key the order
     * @param digest the digest of its content
     * @param terms how the rules want it treated
     * @param waitMillis how long the caller waits
     */
    record Submit(
            long request, OrderKey key, ContentDigest digest, OrderTerms terms, long waitMillis)
            implements OrderInput {}

    /**
     * The log committed a proposal and the ledger answered. Proposals that fail get no answer; the
     * flow repeats them.
     *
     * @param proposal the number of the proposal
     * @param answer what the ledger said
     */
    record LedgerReplied(long proposal, LedgerAnswer answer) implements OrderInput {}

    /**
     * The endpoint answered a call.
     *
     * @param call the number of the call
     * @param answer the whole answer
     */
    record CallAnswered(long call, StoredAnswer answer) implements OrderInput {}

    /**
     * The connection for a call was never established: not one byte of the order left this host.
     *
     * @param call the number of the call
     */
    record CallNotConnected(long call) implements OrderInput {}

    /**
     * A call ended without an answer after its connection was established.
     *
     * @param call the number of the call
     */
    record CallBroken(long call) implements OrderInput {}

    /** Time has passed; to be given every {@link OrderFlow#TICK_MILLIS}. */
    record Tick() implements OrderInput {}
}
