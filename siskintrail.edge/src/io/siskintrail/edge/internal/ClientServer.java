package io.siskintrail.edge.internal;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.siskintrail.internal.traffic.configuration.ClientLimits;
import io.siskintrail.internal.traffic.configuration.RouteKind;
import io.siskintrail.internal.traffic.configuration.RouteTable;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.TcpServer;
import io.siskintrail.service.Addresses;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * HTTP server for clients; starts an exchange for each accepted request. Confined to the event
 * loop.
 */
final class ClientServer implements Service {
    private static final System.Logger LOG = System.getLogger(ClientServer.class.getName());

    /**
     * Time that a connection stays open beyond the idle limit, since clients may use the whole
     * limit.
     */
    private static final long IDLE_GRACE_MILLIS = 2_000;

    /** Retry-After while this edge has no configuration. */
    private static final long NO_CONFIGURATION_RETRY_MILLIS = 500;

    /**
     * Request body bytes buffered at once, a quarter of the heap set in the deployment file;
     * requests beyond it are rejected.
     */
    private static final long MAX_BUFFERED_BODY_BYTES = 16L << 20;

    /** Retry-After while the body buffer is full; a few completed responses make room. */
    private static final long BUFFER_FULL_RETRY_MILLIS = 300;

    private final EdgeContext context;
    private final RequestFilters filters;
    private final Supplier<RouteTable> table;
    private final HeldRequests heldRequests;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final TcpServer server;
    private long bufferedBodyBytes;
    private boolean stopping;
    private boolean terminating;

    ClientServer(
            EventLoop loop,
            String address,
            EdgeContext context,
            RequestFilters filters,
            Supplier<RouteTable> table) {
        this.server = new TcpServer(loop, Addresses.parse(address), new Initializer());
        this.context = context;
        this.filters = filters;
        this.table = table;
        this.heldRequests = new HeldRequests(loop);
    }

    /** Starts to bind the address; {@link #awaitListening()} waits for completion. */
    @Override
    public void start() {
        server.listen();
    }

    /** Blocks until the address is bound. Must not be called on the event loop. */
    void awaitListening() {
        server.awaitListening();
    }

    /** Stops keep-alive: idle connections close now, others and new ones after a response. */
    @Override
    public void stop() {
        stopping = true;
        heldRequests.resumeAll();
        forEachConnection(ClientConnection::closeIfIdle);
    }

    /**
     * Ends with the process: stops listening, rejects requests that still arrive on open
     * connections, and ends the open requests.
     */
    void terminate() {
        terminating = true;
        server.close();
        context.stopPlan().markTerminating();
        forEachConnection(ClientConnection::terminate);
    }

    /** Calls {@code action} for each connection, also for those behind one at which it fails. */
    private void forEachConnection(Consumer<ClientConnection> action) {
        for (ClientConnection connection : List.copyOf(connections)) {
            try {
                action.accept(connection);
            } catch (RuntimeException | Error e) {
                LOG.log(System.Logger.Level.ERROR, "event=client.update.failed", e);
            }
        }
    }

    /** Returns whether each response closes its connection. */
    boolean isStopping() {
        return stopping;
    }

    /** Returns whether requests of which only a part has come are no longer waited for. */
    boolean isTerminating() {
        return terminating;
    }

    /**
     * Returns the number of connections that have a request inside, be it only in part, or its
     * answer to receive.
     */
    int unfinishedConnections() {
        return count(connection -> !connection.isFinished());
    }

    /** Returns whether no connection has a request inside or an answer to receive. */
    boolean isFinished() {
        return unfinishedConnections() == 0;
    }

    /** Returns the number of requests that are processed and whose response is not complete. */
    int openRequests() {
        return count(ClientConnection::isRunning);
    }

    /** Returns the number of open client connections. */
    int connections() {
        return connections.size();
    }

    /** Returns the number of responses that are complete but not yet written to their sockets. */
    int unsentResponses() {
        return count(ClientConnection::isResponsePending);
    }

    private int count(Predicate<ClientConnection> condition) {
        return (int) connections.stream().filter(condition).count();
    }

    void addConnection(ClientConnection connection) {
        connections.add(connection);
    }

    void removeConnection(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Processes the requests that wait for the first configuration, which has arrived. */
    void resumeHeld() {
        heldRequests.resumeAll();
    }

    /**
     * Holds a request while there is no configuration; returns whether it is held.
     *
     * @param resume processes the request when the configuration or the end of the wait comes
     */
    boolean tryHold(CallContext call, Runnable resume) {
        long holdMillis = filters.holdMillis(call, heldRequests.size());
        if (holdMillis == 0) {
            return false;
        }
        context.stats().increment("siskintrail_edge_held_total", "");
        heldRequests.add(resume, holdMillis);
        return true;
    }

    /** Runs a request through the filters; returns the failure if the request is rejected. */
    Optional<Failure> filter(CallContext call) {
        Optional<Failure> rejection = filters.applyAll(call);
        if (rejection.isEmpty()
                && bufferedBodyBytes + call.body().length > MAX_BUFFERED_BODY_BYTES) {
            rejection =
                    Optional.of(
                            new Failure(
                                    ResultCode.NOT_RUN_NO_ROOM,
                                    "%d bytes of request bodies are buffered"
                                            .formatted(bufferedBodyBytes)));
        }
        rejection.ifPresent(f -> recordRejection(call, f));
        return rejection;
    }

    /** Returns the Retry-After of a rejected request, in milliseconds; 0 for none. */
    long retryAfterMillis(ResultCode code) {
        return switch (code) {
            case NOT_RUN_RULES_STALE -> NO_CONFIGURATION_RETRY_MILLIS;
            case NOT_RUN_NO_ROOM -> BUFFER_FULL_RETRY_MILLIS;
            case NOT_RUN_SHUTTING_DOWN -> context.drainingRetryMillis();
            case NOT_RUN_QUARANTINED -> Exchange.QUARANTINED_RETRY_MILLIS;
            default -> 0;
        };
    }

    /** Creates the exchange of a request that passed the filters, which sends {@code response}. */
    Exchange createExchange(ClientResponse response, CallContext call) {
        Exchange exchange =
                call.route().kind() == RouteKind.STREAM
                        ? new StreamExchange(context, call, response, this::removeExchange)
                        : new UnaryExchange(context, call, response, this::removeExchange);
        bufferedBodyBytes += call.body().length;
        context.add(exchange);
        return exchange;
    }

    boolean isFrameTooLong(Throwable cause) {
        return cause instanceof TooLongFrameException;
    }

    /** Counts and logs a request that could not be parsed. */
    void recordUnreadable(ResultCode code, Throwable cause) {
        context.stats().increment("siskintrail_edge_unreadable_total", "");
        LogEvent.info(LOG, "request.unreadable")
                .with("code", code.number())
                .with("cause", cause)
                .write();
    }

    private void removeExchange(Exchange exchange) {
        bufferedBodyBytes -= exchange.bodyBytes();
        context.remove(exchange);
    }

    /** Counts and logs a request that is turned away before it is placed. */
    void recordRejection(CallContext call, Failure failure) {
        context.stats()
                .increment(
                        "siskintrail_edge_refused_total",
                        "code=\"%d\"".formatted(failure.code().number()));
        LogEvent.info(LOG, "request.turned-away")
                .with("request", call.requestId())
                .with("target", call.path())
                .with("configuration", call.table() == null ? null : call.table().version())
                .with("code", failure.code().number())
                .with("detail", failure.detail())
                .write();
    }

    /** Applies the limits of a changed configuration to the connections that are open. */
    void applyLimits() {
        forEachConnection(ClientConnection::applyLimits);
    }

    private ClientLimits limits() {
        RouteTable current = table.get();
        return current == null ? ClientLimits.DEFAULT : current.limits();
    }

    private long idleLimitMillis() {
        return limits().idleTimeoutMillis() + IDLE_GRACE_MILLIS;
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            ClientServer server = ClientServer.this;
            ClientConnection connection = new ClientConnection(server);
            channel.pipeline()
                    .addLast(new IdleLimit(server::idleLimitMillis, connection))
                    .addLast(new ClientResponseEncoder(connection::answersHead))
                    .addLast(new StrictRequestDecoder(server::limits, connection::startReceiving))
                    .addLast(new RequestAggregator(server::limits, connection))
                    .addLast(connection);
        }
    }
}
