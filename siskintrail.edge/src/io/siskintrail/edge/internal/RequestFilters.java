package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.siskintrail.edge.CallHead;
import io.siskintrail.edge.TrafficProtocol;
import io.siskintrail.internal.traffic.Account;
import io.siskintrail.internal.traffic.Route;
import io.siskintrail.internal.traffic.RouteTable;
import io.siskintrail.internal.traffic.StopPlan;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** The filters of an edge, in their order. */
final class RequestFilters {
    private final TrafficProtocol protocol;
    private final Supplier<RouteTable> table;
    private final QuarantineDesk quarantine;
    private final StopPlan stopPlan;
    private final List<RequestFilter> chain;

    /**
     * Makes the chain.
     *
     * @param table gives the configuration in force, null before the first
     */
    RequestFilters(
            TrafficProtocol protocol,
            Supplier<RouteTable> table,
            QuarantineDesk quarantine,
            StopPlan stopPlan) {
        this.protocol = protocol;
        this.table = table;
        this.quarantine = quarantine;
        this.stopPlan = stopPlan;
        this.chain =
                List.of(
                        this::head,
                        this::configuration,
                        this::route,
                        this::account,
                        this::content,
                        this::stop);
    }

    /** Passes {@code call} through the chain; returns why it is turned away, if it is. */
    Optional<Failure> apply(CallContext call) {
        for (RequestFilter filter : chain) {
            Optional<Failure> refusal = filter.apply(call);
            if (refusal.isPresent()) {
                return refusal;
            }
        }
        return Optional.empty();
    }

    private Optional<Failure> head(CallContext call) {
        if (!call.target().startsWith("/")) {
            return refuse(ResultCode.BAD_HEADER, "the request target is no path");
        }
        if (call.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            return refuse(ResultCode.BAD_HEADER, "there is not exactly one Host header");
        }
        if (call.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return refuse(ResultCode.BAD_HEADER, "a transfer coding other than chunked");
        }
        Result<CallHead> head = protocol.read(call.headers());
        if (head instanceof Result.Err<CallHead> e) {
            return Optional.of(e.failure());
        }
        call.head(((Result.Ok<CallHead>) head).value());
        return Optional.empty();
    }

    private Optional<Failure> configuration(CallContext call) {
        RouteTable current = table.get();
        if (current == null) {
            return refuse(ResultCode.NOT_RUN_RULES_STALE, "no configuration was received yet");
        }
        call.table(current);
        return Optional.empty();
    }

    private Optional<Failure> route(CallContext call) {
        String host = call.headers().get(HttpHeaderNames.HOST);
        int colon = host.indexOf(':');
        Route route = call.table().route(colon < 0 ? host : host.substring(0, colon), call.path());
        if (route == null) {
            return refuse(ResultCode.NOT_FOUND, "no route matches host and path");
        }
        call.route(route);
        return Optional.empty();
    }

    private Optional<Failure> account(CallContext call) {
        if (call.route().anonymous() || !call.table().hasAccounts()) {
            return Optional.empty();
        }
        String key = call.head().key();
        if (key == null) {
            return refuse(ResultCode.MISSING_API_KEY, "the route needs a key");
        }
        Account account = call.table().account(key);
        if (account == null) {
            return refuse(ResultCode.UNKNOWN_API_KEY, "no account holds the key");
        }
        call.account(account);
        return Optional.empty();
    }

    private Optional<Failure> content(CallContext call) {
        return quarantine.refuses(call.fingerprint())
                ? refuse(ResultCode.NOT_RUN_QUARANTINED, "the content ended endpoints")
                : Optional.empty();
    }

    private Optional<Failure> stop(CallContext call) {
        return stopPlan.takes(call.arrivedAt(), call.route())
                ? Optional.empty()
                : refuse(ResultCode.NOT_RUN_SHUTTING_DOWN, "the host ends before the answer");
    }

    private static Optional<Failure> refuse(ResultCode code, String detail) {
        return Optional.of(new Failure(code, detail));
    }
}
