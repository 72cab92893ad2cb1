package io.siskintrail.internal.policy;

import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.lib.EndpointId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the effects of several dispatchers: valid state changes of each request, no endpoint over
 * its slots, starts in order of submission, and the limit of suspensions.
 */
final class PolicyOracle {
    private final Map<EndpointId, Integer> slots = new HashMap<>();
    private final Map<EndpointId, Integer> running = new HashMap<>();
    private final TreeMap<Long, TrackedRequest> requests = new TreeMap<>();
    private final Map<String, Long> lastStartedTickets = new HashMap<>();
    private final List<String> trace = new ArrayList<>();

    enum RequestState {
        WAITING,
        RUNNING,
        SUSPENDING,
        FINISHED,
        REFUSED,
        JOINED,
        CANCELLED
    }

    static final class TrackedRequest {
        final WorkRequest request;
        final int router;
        RequestState state = RequestState.WAITING;
        EndpointId endpoint;
        int suspensions;

        private TrackedRequest(WorkRequest request, int router) {
            this.request = request;
            this.router = router;
        }
    }

    void addEndpoint(EndpointId id, int count) {
        slots.put(id, count);
    }

    void recordSubmit(int router, WorkRequest request) {
        requests.put(request.ticket(), new TrackedRequest(request, router));
    }

    List<TrackedRequest> requestsIn(RequestState state) {
        return requests.values().stream().filter(s -> s.state == state).toList();
    }

    List<String> trace() {
        return trace;
    }

    /** Records that a request released its slot, and sets its state. */
    void releaseSlot(TrackedRequest s, RequestState nextState) {
        running.merge(s.endpoint, -1, Integer::sum);
        s.state = nextState;
    }

    void check(long now, int router, PolicyEffect effect) {
        if (!(effect instanceof PolicyEffect.Send)) {
            trace.add(now + " " + router + " " + effect);
        }
        if (effect instanceof PolicyEffect.Start e) {
            recordStart(requests.get(e.ticket()), e.endpoint());
        } else if (effect instanceof PolicyEffect.Refuse e) {
            leaveWaiting(requests.get(e.ticket()), RequestState.REFUSED);
        } else if (effect instanceof PolicyEffect.Join e) {
            RequestState leader = requests.get(e.leader()).state;
            assertWithMessage("state of the request that another one joined")
                    .that(leader)
                    .isAnyOf(RequestState.WAITING, RequestState.RUNNING, RequestState.SUSPENDING);
            leaveWaiting(requests.get(e.ticket()), RequestState.JOINED);
        } else if (effect instanceof PolicyEffect.Suspend e) {
            recordSuspension(requests.get(e.ticket()));
        }
    }

    private void leaveWaiting(TrackedRequest s, RequestState state) {
        assertWithMessage("state before %s of request %s", state, s.request.ticket())
                .that(s.state)
                .isEqualTo(RequestState.WAITING);
        s.state = state;
    }

    private void recordStart(TrackedRequest s, EndpointId endpoint) {
        leaveWaiting(s, RequestState.RUNNING);
        s.endpoint = endpoint;
        int runningNow = running.merge(endpoint, 1, Integer::sum);
        assertWithMessage("requests on %s", endpoint)
                .that(runningNow)
                .isAtMost(slots.get(endpoint));
        if (s.suspensions == 0 && !s.request.recovery()) {
            WorkRequest r = s.request;
            String queue = s.router + "|" + r.account() + "|" + r.rank() + "|" + r.target();
            long lastTicket = lastStartedTickets.getOrDefault(queue, -1L);
            assertWithMessage("order of starts in %s", queue)
                    .that(r.ticket())
                    .isGreaterThan(lastTicket);
            lastStartedTickets.put(queue, r.ticket());
        }
    }

    private void recordSuspension(TrackedRequest s) {
        assertWithMessage("state before a suspension")
                .that(s.state)
                .isEqualTo(RequestState.RUNNING);
        s.state = RequestState.SUSPENDING;
        s.suspensions++;
        assertWithMessage("suspensions of one generation")
                .that(s.suspensions)
                .isAtMost(PolicyRules.DEFAULT.maxSuspensions());
    }
}
