package io.siskintrail.edge.internal;

/** Which connection an attempt may use. */
enum ConnectionUse {
    /** Only a new one, since the endpoint received a request of the same ID before. */
    NEW,

    /**
     * A new one or one that was idle only briefly: an endpoint may close an idle connection at any
     * time, and a request sent while it does so is lost.
     */
    BRIEFLY_IDLE,

    /** Any, since the request can be sent again if the connection turns out to be closed. */
    ANY
}
