package io.siskintrail.control.internal.configuration;

import io.siskintrail.control.internal.replica.ReplicaStatus;
import io.siskintrail.internal.ledger.OrderRecord;
import io.siskintrail.service.Service;
import io.siskintrail.wire.control.ControlClient;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The control log of this process, and whether this process leads it. */
public interface ControlLog extends Service {

    /** Returns the access to the log. */
    ControlClient client();

    /** Returns the records of orders that this process has applied; completes on any thread. */
    CompletionStage<List<OrderRecord>> orders();

    /** Returns what this process holds now; may be called from any thread. */
    LeaderLease lease();

    /** Returns what the replica shows of itself, empty when there is none or it has not begun. */
    default Optional<ReplicaStatus> status() {
        return Optional.empty();
    }
}
