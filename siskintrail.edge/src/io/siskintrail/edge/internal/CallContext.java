package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpHeaders;
import io.siskintrail.edge.CallMetadata;
import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.configuration.Account;
import io.siskintrail.internal.traffic.configuration.Route;
import io.siskintrail.internal.traffic.configuration.RouteTable;
import io.siskintrail.internal.traffic.crash.CrashSuspect;
import io.siskintrail.lib.AccountId;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/** A client request and what the request filters learned about it. Confined to the event loop. */
final class CallContext {
    private static final AccountId ANONYMOUS = new AccountId("-");
    private static final long DEFAULT_DEADLINE_MILLIS = 60_000;

    private final String method;
    private final String target;
    private final HttpHeaders headers;
    private final byte[] body;
    private final long arrivedAtMillis;
    private CallMetadata metadata;
    private RouteTable table;
    private Route route;
    private Account account;
    private Fingerprint fingerprint;
    private CrashSuspect suspect;

    /** Wraps a request that arrived at {@code arrivedAtMillis}, in monotonic milliseconds. */
    CallContext(
            String method, String target, HttpHeaders headers, byte[] body, long arrivedAtMillis) {
        this.method = method;
        this.target = target;
        this.headers = headers;
        this.body = body;
        this.arrivedAtMillis = arrivedAtMillis;
    }

    String method() {
        return method;
    }

    /** Returns the path and query as sent. */
    String target() {
        return target;
    }

    /** Returns the path as sent, without the query. */
    String path() {
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target : target.substring(0, queryStart);
    }

    HttpHeaders headers() {
        return headers;
    }

    byte[] body() {
        return body;
    }

    long arrivedAtMillis() {
        return arrivedAtMillis;
    }

    CallMetadata metadata() {
        return metadata;
    }

    void setMetadata(CallMetadata newMetadata) {
        metadata = newMetadata;
    }

    RouteTable table() {
        return table;
    }

    void setTable(RouteTable newTable) {
        table = newTable;
    }

    Route route() {
        return route;
    }

    void setRoute(Route newRoute) {
        route = newRoute;
    }

    void setAccount(Account newAccount) {
        account = newAccount;
    }

    /** Returns the id of the client account, null on an anonymous route. */
    AccountId accountId() {
        return account == null ? null : account.id();
    }

    /**
     * Returns the priority, 0 being the most urgent: the rank of the account, else that of the
     * route.
     */
    int rank() {
        return account != null && account.rank() != null ? account.rank() : route.rank();
    }

    /** Returns how long the client waits for the complete response, in milliseconds. */
    long clientDeadlineMillis() {
        return metadata.deadlineMillis() > 0 ? metadata.deadlineMillis() : DEFAULT_DEADLINE_MILLIS;
    }

    /** Returns the deadline for the complete response, in monotonic milliseconds. */
    long deadlineAtMillis() {
        return arrivedAtMillis + Math.min(clientDeadlineMillis(), route.timeoutMillis());
    }

    /** Returns the time until the deadline in milliseconds, at least 1. */
    long remainingMillis(long nowMillis) {
        return Math.max(1, deadlineAtMillis() - nowMillis);
    }

    /**
     * Returns the fingerprint of client account, method, target and body. The request ID has no
     * influence on it.
     */
    Fingerprint fingerprint() {
        if (fingerprint == null) {
            AccountId owner = account == null ? ANONYMOUS : account.id();
            String bodyText = new String(body, StandardCharsets.ISO_8859_1);
            fingerprint = Fingerprint.of(owner, method + ' ' + target + '\n' + bodyText);
        }
        return fingerprint;
    }

    /** Returns the content and the shared prompt parts, by which crashes are told apart. */
    CrashSuspect suspect() {
        if (suspect == null) {
            suspect = new CrashSuspect(fingerprint(), Set.copyOf(metadata.sharedParts()));
        }
        return suspect;
    }

    /** Returns the request ID, {@code -} if it is unknown. */
    String requestId() {
        return metadata == null || metadata.requestId() == null ? "-" : metadata.requestId();
    }
}
