package io.siskintrail.bench.orders;

/** What goes wrong. */
enum Fault {
    /** Nothing; the repeats alone. */
    NONE,
    /** The router of the first request dies and is started again after a second. */
    ROUTER_KILLED,
    /** The control thread of that router sleeps for longer than callers wait. */
    ROUTER_PAUSED,
    /** Another router holds that router for dead and settles its orders. */
    ROUTER_SETTLED,
    /** The message under way is lost, or its connection is reset. */
    MESSAGE_LOST,
    /** The message under way is delivered again a second later. */
    MESSAGE_REPEATED,
    /** The leader of the control log dies and is started again. */
    LEADER_KILLED,
    /** Two of three control replicas die and are started again. */
    CONTROL_LOST,
    /** All endpoints die and are started again. */
    ENDPOINTS_KILLED,
    /** The endpoints announce that they leave. */
    ENDPOINTS_LEAVE;

    boolean appliesTo(Step step) {
        return this != MESSAGE_REPEATED || step.isControl();
    }
}
