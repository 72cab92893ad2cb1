package io.siskintrail.internal.policy;

import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.lib.EndpointId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Checks the effects of several dispatchers against what each request may go through. */
final class PolicyOracle {
    private final Map<EndpointId, Integer> slots = new HashMap<>();
    private final Map<EndpointId, Integer> running = new HashMap<>();
    private final TreeMap<Long, Seen> requests = new TreeMap<>();
    private final Map<String, Long> lastStarted = new HashMap<>();
    private final List<String> trace = new ArrayList<>();

    enum Fate {
        WAITING,
        RUNNING,
        SUSPENDING,
        FINISHED,
        REFUSED,
        JOINED,
        CANCELLED
    }

    static final class Seen {
        final WorkRequest request;
        final int router;
        Fate fate = Fate.WAITING;
        EndpointId endpoint;
        int suspensions;

        private Seen(WorkRequest request, int router) {
            this.request = request;
            this.router = router;
        }
    }

    void endpoint(EndpointId id, int count) {
        slots.put(id, count);
    }

    void submitted(int router, WorkRequest request) {
        requests.put(request.ticket(), new Seen(request, router));
    }

    List<Seen> in(Fate fate) {
        return requests.values().stream().filter(s -> s.fate == fate).toList();
    }

    List<String> trace() {
        return trace;
    }

    /** Notes that the slot of a request is free again. */
    void left(Seen s, Fate next) {
        running.merge(s.endpoint, -1, Integer::sum);
        s.fate = next;
    }

    void check(long now, int router, PolicyEffect effect) {
        if (!(effect instanceof PolicyEffect.Send)) {
            trace.add(now + " " + router + " " + effect);
        }
        if (effect instanceof PolicyEffect.Start e) {
            started(requests.get(e.ticket()), e.endpoint());
        } else if (effect instanceof PolicyEffect.Refuse e) {
            end(requests.get(e.ticket()), Fate.REFUSED);
        } else if (effect instanceof PolicyEffect.Join e) {
            Fate leader = requests.get(e.leader()).fate;
            assertWithMessage("fate of the leader of a join")
                    .that(leader)
                    .isAnyOf(Fate.WAITING, Fate.RUNNING, Fate.SUSPENDING);
            end(requests.get(e.ticket()), Fate.JOINED);
        } else if (effect instanceof PolicyEffect.Suspend e) {
            suspended(requests.get(e.ticket()));
        }
    }

    private void end(Seen s, Fate fate) {
        assertWithMessage("fate before %s of %s", fate, s.request.ticket())
                .that(s.fate)
                .isEqualTo(Fate.WAITING);
        s.fate = fate;
    }

    private void started(Seen s, EndpointId endpoint) {
        end(s, Fate.RUNNING);
        s.endpoint = endpoint;
        int now = running.merge(endpoint, 1, Integer::sum);
        assertWithMessage("requests on %s", endpoint).that(now).isAtMost(slots.get(endpoint));
        if (s.suspensions == 0 && !s.request.recovery()) {
            WorkRequest r = s.request;
            String lane = s.router + "|" + r.account() + "|" + r.rank() + "|" + r.target();
            long last = lastStarted.getOrDefault(lane, -1L);
            assertWithMessage("order of starts in %s", lane).that(r.ticket()).isGreaterThan(last);
            lastStarted.put(lane, r.ticket());
        }
    }

    private void suspended(Seen s) {
        assertWithMessage("fate before a suspension").that(s.fate).isEqualTo(Fate.RUNNING);
        s.fate = Fate.SUSPENDING;
        s.suspensions++;
        assertWithMessage("suspensions of one generation")
                .that(s.suspensions)
                .isAtMost(PolicyRules.DEFAULT.maxSuspensions());
    }
}
