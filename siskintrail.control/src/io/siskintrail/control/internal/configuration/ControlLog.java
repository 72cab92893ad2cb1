package io.siskintrail.control.internal.configuration;

import io.siskintrail.service.Service;
import io.siskintrail.wire.control.ControlClient;

/** The control log of this process, and whether this process leads it. */
public interface ControlLog extends Service {

    /** Returns the access to the log. */
    ControlClient client();

    /** Returns what this process holds now; may be called from any thread. */
    LeaderLease lease();
}
