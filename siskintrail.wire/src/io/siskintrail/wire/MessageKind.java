package io.siskintrail.wire;

/** Numbers the subsystems that send messages to their peers. */
public enum MessageKind {
    /** Consensus among control replicas. */
    CONSENSUS(1),
    /** Proposals and log following between hosts and control. */
    CONTROL(2),
    /** Copies of generations between routers. */
    BUDDY(3),
    /** Gossip about hosts and endpoints. */
    MEMBERSHIP(4),
    /** Usage exchange and slot leases between routers. */
    POLICY(5),
    /** Currency of the configuration between hosts and control. */
    CURRENCY(6),
    /** Messages among registries and to the edges that follow them. */
    REGISTRY(7),
    /** Greetings and probes of a link itself. */
    LINK(8);

    private final short number;

    MessageKind(int number) {
        this.number = (short) number;
    }

    /** Returns the number on the wire. */
    public short number() {
        return number;
    }

    /** Returns the kind with {@code number}, or null when there is none. */
    public static MessageKind of(short number) {
        for (MessageKind kind : values()) {
            if (kind.number == number) {
                return kind;
            }
        }
        return null;
    }
}
