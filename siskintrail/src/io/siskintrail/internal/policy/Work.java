package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointId;

/** One request that waits or runs; owned by the {@link Dispatcher}. */
final class Work {
    /** Where a request stands. */
    enum State {
        WAITING,
        RUNNING,
        SUSPENDING
    }

    final WorkRequest request;
    final long order;
    final long arrivedAt;
    State state = State.WAITING;
    long deadline;
    EndpointState endpoint;
    EndpointId preferred;
    long startedAt;
    double charged;
    int outputTokens;
    int promptTokens;
    int suspensions;

    Work(WorkRequest request, long order, long arrivedAt, long deadline) {
        this.request = request;
        this.order = order;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.promptTokens = request.promptTokens();
    }
}
