package io.siskintrail.control.internal.configuration;

import io.siskintrail.control.internal.replica.ReplicaStatus;
import io.siskintrail.service.Service;
import io.siskintrail.wire.control.ControlClient;
import java.util.Optional;

/** The control log of this process, and whether this process leads it. */
public interface ControlLog extends Service {

    /** Returns the access to the log. */
    ControlClient client();

    /** Returns what this process holds now; may be called from any thread. */
    LeaderLease lease();

    /** Returns what the replica shows of itself, empty when there is none or it has not begun. */
    default Optional<ReplicaStatus> status() {
        return Optional.empty();
    }
}
