package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpHeaders;
import io.siskintrail.edge.CallHead;
import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.Account;
import io.siskintrail.internal.traffic.Route;
import io.siskintrail.internal.traffic.RouteTable;
import io.siskintrail.lib.AccountId;
import java.nio.charset.StandardCharsets;

/** A request of a client, and what the filters found out about it. Used on the event loop. */
final class CallContext {
    private static final AccountId ANONYMOUS = new AccountId("-");
    private static final long NO_DEADLINE_MILLIS = 60_000;

    private final String method;
    private final String target;
    private final HttpHeaders headers;
    private final byte[] body;
    private final long arrivedAt;
    private CallHead head;
    private RouteTable table;
    private Route route;
    private Account account;
    private Fingerprint fingerprint;

    /** Takes a request that arrived at {@code arrivedAt}, in monotonic milliseconds. */
    CallContext(String method, String target, HttpHeaders headers, byte[] body, long arrivedAt) {
        this.method = method;
        this.target = target;
        this.headers = headers;
        this.body = body;
        this.arrivedAt = arrivedAt;
    }

    String method() {
        return method;
    }

    /** Returns path and query as sent. */
    String target() {
        return target;
    }

    /** Returns the path as sent, without the query. */
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    HttpHeaders headers() {
        return headers;
    }

    byte[] body() {
        return body;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    CallHead head() {
        return head;
    }

    void head(CallHead next) {
        head = next;
    }

    RouteTable table() {
        return table;
    }

    void table(RouteTable next) {
        table = next;
    }

    Route route() {
        return route;
    }

    void route(Route next) {
        route = next;
    }

    void account(Account next) {
        account = next;
    }

    /** Returns the id of the client account, null on an anonymous route. */
    AccountId accountId() {
        return account == null ? null : account.id();
    }

    /** Returns how urgent the request is: the rank of the account goes before that of the route. */
    int rank() {
        return account != null && account.rank() != null ? account.rank() : route.rank();
    }

    /** Returns when a final answer is due, in monotonic milliseconds. */
    long deadlineAt() {
        long client = head.deadlineMillis() > 0 ? head.deadlineMillis() : NO_DEADLINE_MILLIS;
        return arrivedAt + Math.min(client, route.timeoutMillis());
    }

    /** Returns how long an answer is of use. */
    long remainingMillis(long nowMillis) {
        return Math.max(1, deadlineAt() - nowMillis);
    }

    /** Returns what names account and content, whatever the id of the request. */
    Fingerprint fingerprint() {
        if (fingerprint == null) {
            AccountId owner = account == null ? ANONYMOUS : account.id();
            String text = new String(body, StandardCharsets.ISO_8859_1);
            fingerprint = Fingerprint.of(owner, method + ' ' + target + '\n' + text);
        }
        return fingerprint;
    }

    /** Returns the request id, {@code -} before it is known. */
    String requestId() {
        return head == null || head.requestId() == null ? "-" : head.requestId();
    }
}
