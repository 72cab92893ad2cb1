package io.siskintrail.edge.internal;

import io.siskintrail.net.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Connections to endpoints that are open while they carry no request. Confined to the event loop.
 */
final class KeptConnections {
    private final int maxPerEndpoint;
    private final long maxIdleMillis;
    private final Map<String, Deque<EndpointConnection>> byAddress = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param maxPerEndpoint the largest number of connections kept per endpoint
     * @param maxIdleMillis for how long a connection is kept
     */
    KeptConnections(int maxPerEndpoint, long maxIdleMillis) {
        this.maxPerEndpoint = maxPerEndpoint;
        this.maxIdleMillis = maxIdleMillis;
    }

    /** Keeps a connection, or closes it if its endpoint has as many as are kept. */
    void add(EndpointConnection connection) {
        Deque<EndpointConnection> connections =
                byAddress.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
        if (connections.size() >= maxPerEndpoint) {
            connection.close();
            return;
        }
        connections.push(connection);
    }

    /** Takes the connection that was used last of those that can carry {@code next}, or null. */
    EndpointConnection take(String address, Attempt next) {
        Deque<EndpointConnection> connections = byAddress.get(address);
        if (connections == null) {
            return null;
        }
        closeExpired(connections);
        Iterator<EndpointConnection> iterator = connections.iterator();
        while (iterator.hasNext()) {
            EndpointConnection connection = iterator.next();
            if (connection.canCarry(next)) {
                iterator.remove();
                return connection;
            }
        }
        return null;
    }

    /** Closes the connections that have been kept for too long. */
    void closeExpired() {
        byAddress.values().forEach(this::closeExpired);
        byAddress.values().removeIf(Deque::isEmpty);
    }

    /** Closes the connections to an endpoint that is gone. */
    void closeAll(String address) {
        Deque<EndpointConnection> connections = byAddress.remove(address);
        if (connections != null) {
            connections.forEach(EndpointConnection::close);
        }
    }

    /** Forgets a connection that was closed. */
    void remove(EndpointConnection connection) {
        Deque<EndpointConnection> connections = byAddress.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    private void closeExpired(Deque<EndpointConnection> connections) {
        long now = EventLoop.nowMillis();
        Iterator<EndpointConnection> iterator = connections.iterator();
        while (iterator.hasNext()) {
            EndpointConnection connection = iterator.next();
            if (!connection.isFresh(now, maxIdleMillis)) {
                iterator.remove();
                connection.close();
            }
        }
    }
}
