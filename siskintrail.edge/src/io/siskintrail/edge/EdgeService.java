package io.siskintrail.edge;

import io.siskintrail.edge.internal.Edge;
import io.siskintrail.net.EventLoop;
import io.siskintrail.service.Reloadable;
import io.siskintrail.service.Service;

/** Edge process: follows the registries and serves clients. */
public final class EdgeService implements Service, Reloadable<EdgeSettings> {
    private final EventLoop loop = new EventLoop("edge");
    private final Edge edge;

    /**
     * Creates the service without starting it.
     *
     * @param settings the validated settings
     * @param protocol encodes and decodes requests in the platform format
     */
    public EdgeService(EdgeSettings settings, TrafficProtocol protocol) {
        edge = new Edge(loop, settings, protocol);
    }

    @Override
    public void start() {
        edge.start();
    }

    @Override
    public void reload(EdgeSettings settings) {
        edge.reload(settings);
    }

    @Override
    public void stop() {
        edge.stop();
        loop.stop();
    }
}
