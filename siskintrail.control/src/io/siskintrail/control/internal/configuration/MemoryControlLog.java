package io.siskintrail.control.internal.configuration;

import io.siskintrail.internal.control.ControlState;
import io.siskintrail.service.ControlLoop;
import io.siskintrail.wire.ControlStateCodec;
import io.siskintrail.wire.control.ControlClient;
import io.siskintrail.wire.control.LocalControlClient;

/** The log of a single replica that keeps its state in memory, for trying out. */
public final class MemoryControlLog implements ControlLog {
    private static final long LEASE_MILLIS = 1_000;

    private final ControlClient client =
            new LocalControlClient<>(
                    new ControlState(), new ControlStateCodec(), System::currentTimeMillis);

    @Override
    public ControlClient client() {
        return client;
    }

    @Override
    public LeaderLease lease() {
        return new LeaderLease(ControlLoop.nowMillis() + LEASE_MILLIS, 0);
    }

    @Override
    public void start() {}

    @Override
    public void stop() {}
}
