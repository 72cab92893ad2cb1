package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.siskintrail.edge.CallMetadata;
import io.siskintrail.edge.TrafficProtocol;
import io.siskintrail.internal.traffic.admission.ConfigurationWait;
import io.siskintrail.internal.traffic.admission.StopPlan;
import io.siskintrail.internal.traffic.configuration.Account;
import io.siskintrail.internal.traffic.configuration.Route;
import io.siskintrail.internal.traffic.configuration.RouteTable;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Filter chain of an edge, in execution order. */
final class RequestFilters {
    private final TrafficProtocol protocol;
    private final Supplier<RouteTable> table;
    private final CrashCoordinator crashes;
    private final StopPlan stopPlan;
    private final List<RequestFilter> chain;

    /**
     * Creates the filter chain.
     *
     * @param table supplies the active configuration, null until the first one arrives
     */
    RequestFilters(
            TrafficProtocol protocol,
            Supplier<RouteTable> table,
            CrashCoordinator crashes,
            StopPlan stopPlan) {
        this.protocol = protocol;
        this.table = table;
        this.crashes = crashes;
        this.stopPlan = stopPlan;
        this.chain =
                List.of(
                        this::readMetadata,
                        this::attachConfiguration,
                        this::matchRoute,
                        this::authenticate,
                        this::checkQuarantine,
                        this::checkShutdown);
    }

    /**
     * Runs {@code call} through the filter chain; returns the failure if the request is rejected.
     */
    Optional<Failure> applyAll(CallContext call) {
        for (RequestFilter filter : chain) {
            Optional<Failure> rejection = filter.filter(call);
            if (rejection.isPresent()) {
                return rejection;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns how long to hold the request for a configuration, in milliseconds; 0 if there is one
     * or the request is turned away.
     *
     * @param held how many requests are held already
     */
    long holdMillis(CallContext call, int held) {
        if (table.get() != null || stopPlan.isDraining() || readMetadata(call).isPresent()) {
            return 0;
        }
        return ConfigurationWait.holdMillis(call.clientDeadlineMillis(), held);
    }

    private Optional<Failure> readMetadata(CallContext call) {
        if (!call.target().startsWith("/")) {
            return reject(ResultCode.BAD_HEADER, "request target does not start with a slash");
        }
        if (call.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            return reject(ResultCode.BAD_HEADER, "expected exactly one Host header");
        }
        if (call.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return reject(
                    ResultCode.BAD_HEADER, "unsupported transfer coding, only chunked is accepted");
        }
        Result<CallMetadata> metadata = protocol.readMetadata(call.headers());
        if (metadata instanceof Result.Err<CallMetadata> error) {
            return Optional.of(error.failure());
        }
        call.setMetadata(((Result.Ok<CallMetadata>) metadata).value());
        return Optional.empty();
    }

    private Optional<Failure> attachConfiguration(CallContext call) {
        RouteTable current = table.get();
        if (current == null) {
            return reject(ResultCode.NOT_RUN_RULES_STALE, "no configuration was received yet");
        }
        call.setTable(current);
        return Optional.empty();
    }

    private Optional<Failure> matchRoute(CallContext call) {
        String host = call.headers().get(HttpHeaderNames.HOST);
        int colon = host.indexOf(':');
        Route route = call.table().route(colon < 0 ? host : host.substring(0, colon), call.path());
        if (route == null) {
            return reject(ResultCode.NOT_FOUND, "no route matches host and path");
        }
        call.setRoute(route);
        return Optional.empty();
    }

    private Optional<Failure> authenticate(CallContext call) {
        if (call.route().anonymous() || !call.table().requiresApiKey()) {
            return Optional.empty();
        }
        String apiKey = call.metadata().apiKey();
        if (apiKey == null) {
            return reject(ResultCode.MISSING_API_KEY, "route requires an API key");
        }
        Account account = call.table().account(apiKey);
        if (account == null) {
            return reject(ResultCode.UNKNOWN_API_KEY, "no account has this API key");
        }
        call.setAccount(account);
        return Optional.empty();
    }

    private Optional<Failure> checkQuarantine(CallContext call) {
        return crashes.refuses(call)
                ? reject(ResultCode.NOT_RUN_QUARANTINED, Exchange.CRASHED_ENDPOINTS)
                : Optional.empty();
    }

    private Optional<Failure> checkShutdown(CallContext call) {
        return stopPlan.accepts(EventLoop.nowMillis(), call.route(), call.deadlineAtMillis())
                ? Optional.empty()
                : reject(
                        ResultCode.NOT_RUN_SHUTTING_DOWN,
                        "host stops before the response can complete");
    }

    private static Optional<Failure> reject(ResultCode code, String detail) {
        return Optional.of(new Failure(code, detail));
    }
}
