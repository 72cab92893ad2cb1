package io.siskintrail.internal.consensus;

/** What a log entry holds. */
public sealed interface EntryBody {

    /** A command for the replicated state. */
    record Command(Payload payload) implements EntryBody {}

    /** The first entry of a leader; committing it commits everything before it. */
    record TermStart() implements EntryBody {}

    /** A new replica set, in use from the moment a replica appends it. */
    record Reconfiguration(ReplicaSet replicas) implements EntryBody {}
}
