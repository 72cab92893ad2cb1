package io.siskintrail.bench.membership;

/** Nodes with endpoints under one way of spreading knowledge. */
public interface Cluster {

    /** Starts node {@code node} with nothing known, its endpoints with it. */
    void start(int node);

    /** Stops node {@code node} silently; its endpoints stop too. */
    void stop(int node);

    /** Makes the first endpoint of {@code node} leave. */
    void leave(int node);

    /** Returns whether {@code node} knows every running node and endpoint, and knows them alive. */
    boolean knowsAll(int node);

    /** Returns whether {@code node} knows of each endpoint that stopped or left that it did. */
    boolean knowsEnded(int node);

    /** Makes each node send work to a random endpoint that it knows, so often a second. */
    void load(int perSecond);

    /** Returns the longest time after an endpoint ended at which a node still sent it work. */
    long lastWorkMillis();

    /** Returns whether {@code node} holds the host {@code other} for gone. */
    boolean holdsGone(int node, int other);
}
