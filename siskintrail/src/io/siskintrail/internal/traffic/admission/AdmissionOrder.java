package io.siskintrail.internal.traffic.admission;

import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Orders the requests that wait for one service at any host. Load pattern: 60 to 90 hosts that each
 * receive less than one stream per second and share engines that are full, with a flood of a low
 * rank beside a few urgent requests. Every host computes the same order from its own requests and
 * from those that the others report, and places a request only if more places are free than
 * requests go before it, so that a free place goes to the first request over all hosts.
 *
 * <p>The most urgent rank goes first; after seven starts of more urgent ranks that a rank waited
 * through, one of that rank goes. Within a rank, resumptions go before new requests, then accounts
 * take turns, then the request that has waited longest goes.
 *
 * <p>Reports may be late, repeated or lost: a stale entry holds back one place, and a missing entry
 * lets one place be taken twice, until the next report. Not thread-safe.
 *
 * @param <T> the type of the requests that wait at this host
 */
public final class AdmissionOrder<T> {
    /**
     * Maximum number of requests that a host reports, the first ones in its order. The others wait
     * behind them at their host, which reports them as soon as they move up; with 60 hosts this
     * still shows more requests than engines have places.
     */
    public static final int MAX_REPORTED = 16;

    /**
     * Time after which the entries of a host that reports nothing no longer count: three intervals
     * at which waiting requests are reported again. Limits how long a paused host holds back
     * places.
     */
    static final long MAX_REPORT_AGE_MILLIS = 3_000;

    /** Starts of more urgent ranks after which a rank that waits has the next start. */
    static final int STARTS_BEFORE_TURN = 7;

    /** Variation of the delay of reports within which two reports name the same request. */
    private static final long SAME_ARRIVAL_MILLIS = 400;

    private static final Comparator<Node<?>> BY_ARRIVAL =
            Comparator.comparing((Node<?> n) -> !n.request.resumption)
                    .thenComparingLong(n -> n.request.sinceMillis);

    private static final Comparator<Node<?>> BY_TURN =
            Comparator.comparing((Node<?> n) -> !n.request.resumption)
                    .thenComparingLong(n -> n.turn)
                    .thenComparingLong(n -> n.request.sinceMillis);

    private final List<Waiting<T>> local = new ArrayList<>();
    private final Map<HostId, RemoteQueue> remotes = new HashMap<>();
    private final Map<Integer, AccountTurns> turns = new HashMap<>();

    /** By rank, the starts of more urgent ranks since the last start of this one. */
    private final NavigableMap<Integer, Integer> passedOver = new TreeMap<>();

    /** The local requests with their positions; null when it has to be computed again. */
    private List<Waiting<T>> ordered;

    private long orderedUntilMillis;

    /**
     * What determines the position of a request.
     *
     * @param rank the priority; 0 is the most urgent
     * @param account a hash of the client account
     * @param sinceMillis since when it waits, in monotonic milliseconds
     * @param latestStartMillis until when a start is of use, in monotonic milliseconds
     * @param tokens the KV cache memory that it needs, in tokens
     * @param resumption whether it continues a stream that lost its engine
     */
    public record Request(
            int rank,
            int account,
            long sinceMillis,
            long latestStartMillis,
            long tokens,
            boolean resumption) {}

    /**
     * A request that waits at this host.
     *
     * @param <T> the type of the request
     */
    public static final class Waiting<T> {
        private final T item;
        private final Request request;
        private int position;
        private long maxTokens;

        Waiting(T item, Request request) {
            this.item = item;
            this.request = request;
        }

        /** Returns the request itself. */
        public T item() {
            return item;
        }

        /** Returns what determines the position. */
        public Request request() {
            return request;
        }

        /**
         * Returns how many requests of all hosts go first, as of the last call of {@link #ordered}.
         */
        public int position() {
            return position;
        }

        /**
         * Returns the most memory in tokens that this request or one before it needs. Places are
         * counted for this size, so that small requests do not keep a large one from starting.
         */
        public long maxTokens() {
            return maxTokens;
        }
    }

    /** The requests that another host reported, and when its last report arrived. */
    private record RemoteQueue(List<Request> requests, long receivedAtMillis) {}

    /** A request while it is sorted; {@code waiting} is null if it waits at another host. */
    private static final class Node<T> {
        private final Request request;
        private final Waiting<T> waiting;
        private long turn;

        Node(Request request, Waiting<T> waiting) {
            this.request = request;
            this.waiting = waiting;
        }
    }

    /** Adds a request that waits at this host. */
    public Waiting<T> add(T item, Request request) {
        Waiting<T> waiting = new Waiting<>(item, request);
        local.add(waiting);
        ordered = null;
        return waiting;
    }

    /** Removes a request of this host; returns whether it was waiting. */
    public boolean remove(Waiting<T> waiting) {
        ordered = null;
        return local.remove(waiting);
    }

    /** Returns whether a request of this host is waiting. */
    public boolean contains(Waiting<T> waiting) {
        return local.contains(waiting);
    }

    /** Returns the number of requests that wait at this host. */
    public int size() {
        return local.size();
    }

    /** Records that a request that waited at any host started; it must have been removed before. */
    public void recordStart(Request request) {
        ordered = null;
        turns.computeIfAbsent(request.rank, r -> new AccountTurns()).recordStart(request.account);
        passedOver.put(request.rank, 0);
        passedOver.tailMap(request.rank, false).replaceAll((rank, starts) -> starts + 1);
    }

    /**
     * Applies a report of another host. Requests that are no longer reported before their time was
     * over count as started, up to the number of starts that the same report shows.
     *
     * @param waiting the requests that wait there for this service; empty if that has not changed
     * @param starts the number of requests of that host that started at this service since its last
     *     report
     */
    public void applyReport(
            HostId host, long nowMillis, Optional<List<WaitingRequest>> waiting, int starts) {
        if (waiting.isEmpty()) {
            return;
        }
        RemoteQueue known = remotes.get(host);
        List<Request> gone = known == null ? new ArrayList<>() : new ArrayList<>(known.requests);
        List<Request> reported = new ArrayList<>();
        for (WaitingRequest w : waiting.get()) {
            passedOver.putIfAbsent(w.rank(), 0);
            long sinceMillis = nowMillis - w.waitedMillis();
            Request same = removeSame(gone, w, sinceMillis);
            reported.add(
                    new Request(
                            w.rank(),
                            w.account(),
                            same == null ? sinceMillis : Math.min(sinceMillis, same.sinceMillis),
                            nowMillis + w.remainingMillis(),
                            w.tokens(),
                            w.resumption()));
        }
        gone.stream()
                .filter(request -> request.latestStartMillis > nowMillis)
                .limit(starts)
                .forEach(this::recordStart);
        if (reported.isEmpty()) {
            remotes.remove(host);
        } else {
            remotes.put(host, new RemoteQueue(reported, nowMillis));
        }
        ordered = null;
    }

    /**
     * Removes and returns the request that a report names again, the one with the nearest arrival;
     * null if there is none.
     */
    private static Request removeSame(List<Request> known, WaitingRequest named, long sinceMillis) {
        Request nearest = null;
        long nearestMillis = SAME_ARRIVAL_MILLIS + 1;
        for (Request request : known) {
            long apartMillis = Math.abs(request.sinceMillis - sinceMillis);
            if (apartMillis < nearestMillis
                    && request.rank == named.rank()
                    && request.account == named.account()
                    && request.tokens == named.tokens()
                    && request.resumption == named.resumption()) {
                nearest = request;
                nearestMillis = apartMillis;
            }
        }
        known.remove(nearest);
        return nearest;
    }

    /** Returns the requests of this host in order, with their positions over all hosts. */
    public List<Waiting<T>> ordered(long nowMillis) {
        if (local.isEmpty()) {
            return List.of();
        }
        if (ordered == null || nowMillis >= orderedUntilMillis) {
            ordered = computeOrder(nowMillis);
        }
        return ordered;
    }

    /**
     * Returns how many waiting requests go before a resumption of {@code rank} that does not wait
     * itself, without regard to accounts and turns.
     */
    public int countAhead(long nowMillis, int rank) {
        expireRemotes(nowMillis);
        int[] ahead = new int[1];
        forEachRequest(
                nowMillis,
                request -> {
                    boolean isSame = request.rank == rank && request.resumption;
                    ahead[0] += request.rank < rank || isSame ? 1 : 0;
                });
        return ahead[0];
    }

    /** Returns the number of requests that wait at other hosts, as far as reported. */
    public int remoteSize(long nowMillis) {
        expireRemotes(nowMillis);
        return remotes.values().stream().mapToInt(queue -> queue.requests.size()).sum();
    }

    /** Returns the age in milliseconds of the oldest report in use; 0 if there is none. */
    public long oldestReportMillis(long nowMillis) {
        expireRemotes(nowMillis);
        return remotes.values().stream()
                .mapToLong(queue -> nowMillis - queue.receivedAtMillis)
                .max()
                .orElse(0);
    }

    /** Returns what to report to other hosts: the first {@link #MAX_REPORTED} requests. */
    public List<WaitingRequest> report(ServiceName service, long nowMillis) {
        return ordered(nowMillis).stream()
                .limit(MAX_REPORTED)
                .map(waiting -> waiting.request)
                .map(
                        r ->
                                new WaitingRequest(
                                        service,
                                        r.rank,
                                        r.account,
                                        Math.max(0, nowMillis - r.sinceMillis),
                                        Math.max(0, r.latestStartMillis - nowMillis),
                                        r.tokens,
                                        r.resumption))
                .toList();
    }

    private void expireRemotes(long nowMillis) {
        remotes.values().removeIf(q -> nowMillis - q.receivedAtMillis >= MAX_REPORT_AGE_MILLIS);
    }

    private void forEachRequest(long nowMillis, Consumer<Request> action) {
        local.forEach(waiting -> action.accept(waiting.request));
        for (RemoteQueue queue : remotes.values()) {
            for (Request request : queue.requests) {
                if (request.latestStartMillis > nowMillis) {
                    action.accept(request);
                }
            }
        }
    }

    private List<Waiting<T>> computeOrder(long nowMillis) {
        expireRemotes(nowMillis);
        NavigableMap<Integer, List<Node<T>>> byRank = new TreeMap<>();
        orderedUntilMillis = Long.MAX_VALUE;
        for (Waiting<T> waiting : local) {
            addNode(byRank, new Node<>(waiting.request, waiting));
        }
        for (RemoteQueue queue : remotes.values()) {
            orderedUntilMillis =
                    Math.min(orderedUntilMillis, queue.receivedAtMillis + MAX_REPORT_AGE_MILLIS);
            for (Request request : queue.requests) {
                if (request.latestStartMillis > nowMillis) {
                    orderedUntilMillis = Math.min(orderedUntilMillis, request.latestStartMillis);
                    addNode(byRank, new Node<>(request, null));
                }
            }
        }
        passedOver.keySet().retainAll(byRank.keySet());
        byRank.keySet().forEach(rank -> passedOver.putIfAbsent(rank, 0));
        byRank.forEach(this::sortByTurn);
        return mergeRanks(byRank);
    }

    private void addNode(Map<Integer, List<Node<T>>> byRank, Node<T> node) {
        byRank.computeIfAbsent(node.request.rank, r -> new ArrayList<>()).add(node);
    }

    private void sortByTurn(int rank, List<Node<T>> nodes) {
        nodes.sort(BY_ARRIVAL);
        AccountTurns rankTurns = turns.computeIfAbsent(rank, r -> new AccountTurns());
        Map<Integer, Integer> counts = new HashMap<>();
        for (Node<T> node : nodes) {
            int earlier = counts.merge(node.request.account, 1, Integer::sum) - 1;
            node.turn = rankTurns.nextTurn(node.request.account) + earlier;
        }
        nodes.sort(BY_TURN);
    }

    /** Merges the ranks by urgency and turn, and numbers the requests of this host. */
    private List<Waiting<T>> mergeRanks(NavigableMap<Integer, List<Node<T>>> byRank) {
        NavigableMap<Integer, Iterator<Node<T>>> left = new TreeMap<>();
        byRank.forEach((rank, nodes) -> left.put(rank, nodes.iterator()));
        NavigableMap<Integer, Integer> passed = new TreeMap<>(passedOver);
        List<Waiting<T>> result = new ArrayList<>(local.size());
        long maxTokens = 0;
        for (int position = 0; result.size() < local.size(); position++) {
            int rank =
                    left.keySet().stream()
                            .filter(r -> passed.get(r) >= STARTS_BEFORE_TURN)
                            .findFirst()
                            .orElse(left.firstKey());
            Node<T> next = left.get(rank).next();
            maxTokens = Math.max(maxTokens, next.request.tokens);
            if (next.waiting != null) {
                next.waiting.position = position;
                next.waiting.maxTokens = maxTokens;
                result.add(next.waiting);
            }
            passed.put(rank, 0);
            passed.tailMap(rank, false).replaceAll((r, starts) -> starts + 1);
            if (!left.get(rank).hasNext()) {
                left.remove(rank);
            }
        }
        return result;
    }
}
