package io.siskintrail.bench.policy;

/** One send of a request to one router, or its continuation after an endpoint failed. */
final class Call {
    final long ticket;
    final Request request;
    final Node node;
    boolean ended;
    long recoveredAt = -1;
    Engine engine;
    Engine.Job job;

    Call(long ticket, Request request, Node node) {
        this.ticket = ticket;
        this.request = request;
        this.node = node;
    }
}
