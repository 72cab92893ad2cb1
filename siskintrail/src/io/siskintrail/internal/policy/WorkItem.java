package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointId;

/** Mutable state of one request that waits or runs; owned by the {@link Dispatcher}. */
final class WorkItem {
    /** State of a request. */
    enum State {
        WAITING,
        RUNNING,
        SUSPENDING
    }

    final WorkRequest request;
    final long order;
    final long arrivedAtMillis;
    State state = State.WAITING;
    long deadlineMillis;
    EndpointState endpoint;
    EndpointId preferredEndpoint;
    long startedAtMillis;
    double chargedCost;
    int outputTokens;
    int promptTokens;
    int suspensions;

    WorkItem(WorkRequest request, long order, long arrivedAtMillis, long deadlineMillis) {
        this.request = request;
        this.order = order;
        this.arrivedAtMillis = arrivedAtMillis;
        this.deadlineMillis = deadlineMillis;
        this.promptTokens = request.promptTokens();
    }
}
