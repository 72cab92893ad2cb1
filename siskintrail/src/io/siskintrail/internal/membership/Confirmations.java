package io.siskintrail.internal.membership;

import io.siskintrail.lib.EndpointId;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Requests that wait for evidence of the endpoint they want. */
final class Confirmations {
    private static final long HOME_MILLIS = 150;
    private static final long LIMIT_MILLIS = 600;

    private final List<Waiting> waiting = new ArrayList<>();

    /** A request that waits. */
    private static final class Waiting {
        final long request;
        final EndpointId endpoint;
        final long sinceMillis;
        boolean checked;

        Waiting(long request, EndpointId endpoint, long sinceMillis, boolean checked) {
            this.request = request;
            this.endpoint = endpoint;
            this.sinceMillis = sinceMillis;
            this.checked = checked;
        }
    }

    /**
     * Adds a request.
     *
     * @param checked whether the endpoint itself was asked already
     */
    void add(long request, EndpointId endpoint, long nowMillis, boolean checked) {
        waiting.add(new Waiting(request, endpoint, nowMillis, checked));
    }

    /** Answers what can be answered now. */
    void settle(long nowMillis, Predicate<EndpointId> usable, Consumer<MembershipEffect> out) {
        Iterator<Waiting> all = waiting.iterator();
        while (all.hasNext()) {
            Waiting w = all.next();
            boolean yes = usable.test(w.endpoint);
            if (yes || nowMillis - w.sinceMillis >= LIMIT_MILLIS) {
                all.remove();
                out.accept(new MembershipEffect.Confirmed(w.request, w.endpoint, yes));
            }
        }
    }

    /** Hands the endpoints whose home did not answer in time to {@code check}, once each. */
    void escalate(long nowMillis, Consumer<EndpointId> check) {
        for (Waiting w : waiting) {
            if (!w.checked && nowMillis - w.sinceMillis >= HOME_MILLIS) {
                w.checked = true;
                check.accept(w.endpoint);
            }
        }
    }
}
