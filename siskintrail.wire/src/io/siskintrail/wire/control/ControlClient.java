package io.siskintrail.wire.control;

import java.util.concurrent.CompletionStage;

/**
 * Gives a host access to the replicated log, whether or not the host holds a replica.
 *
 * <p>May be called from any thread.
 */
public interface ControlClient {

    /**
     * Proposes one command. The client repeats it to whatever replica leads until an answer comes
     * or its deadline passes; replicas apply it at most once, and repeats get the same answer.
     *
     * @param command the encoded command
     * @return the encoded answer of the replicated state, or a {@link ControlException}: with
     *     {@code CONTROL_OUTCOME_UNKNOWN} when the command may still be committed, with any other
     *     code when it never will be
     */
    CompletionStage<byte[]> propose(byte[] command);

    /**
     * Delivers the committed log to {@code listener} from its start: a snapshot where the beginning
     * is compacted, then every command in order. Several listeners may follow.
     *
     * @param listener called on one thread at a time
     */
    void follow(CommittedListener listener);
}
