package io.siskintrail.internal.traffic.endpoint;

import io.siskintrail.lib.HostId;
import java.util.HashMap;
import java.util.Map;

/**
 * One host's view of an endpoint: its record, the load that this host placed there, and the load
 * that other hosts reported to have placed there. Not thread-safe.
 */
public final class EndpointView {
    /**
     * How long a load report of another host is valid: twice the interval at which it is repeated.
     */
    private static final long REMOTE_LOAD_TTL_MILLIS = 10_000;

    /** Minimum share of the pending prefill time that counts as remaining until the first event. */
    private static final double MIN_PREFILL_LEFT_SHARE = 0.15;

    /**
     * How long an engine that turned a request away as full is left out: a few intervals at which
     * loads are reported, in which streams there may have ended.
     */
    private static final long REJECTION_MILLIS = 500;

    private EndpointRecord record;
    private final HealthMeter health = new HealthMeter();
    private final PushBack pushBack = new PushBack();
    private boolean leaving;
    private final Map<HostId, RemoteLoad> remoteLoads = new HashMap<>();
    private int running;
    private long memoryTokens;
    private long copyTokens;
    private long pendingPrefillMillis;
    private long prefillUpdatedAt;
    private long rejectedUntilMillis = Long.MIN_VALUE;

    /** Load that another host placed, and when its report arrived. */
    private record RemoteLoad(PlacedLoad load, long receivedAtMillis) {

        boolean isValid(long nowMillis) {
            return nowMillis - receivedAtMillis < REMOTE_LOAD_TTL_MILLIS;
        }
    }

    /** Creates a view of an endpoint without any load. */
    public EndpointView(EndpointRecord record) {
        this.record = record;
        this.leaving = record.state() == EndpointState.DRAINING;
    }

    /** Returns the latest record of the endpoint. */
    public EndpointRecord record() {
        return record;
    }

    /** Replaces the record by a newer one of the same incarnation. */
    public void update(EndpointRecord next) {
        record = next;
        leaving |= next.state() == EndpointState.DRAINING;
    }

    /** Returns what the endpoint asked of this host when it turned requests away. */
    public PushBack pushBack() {
        return pushBack;
    }

    /**
     * Records that this incarnation of the endpoint said it will shut down, which no later report
     * takes back; returns whether that is new.
     */
    public boolean markLeaving() {
        boolean isNew = !leaving;
        leaving = true;
        return isNew;
    }

    /** Returns whether this incarnation of the endpoint said that it will shut down. */
    public boolean isLeaving() {
        return leaving;
    }

    /** Returns whether the endpoint serves, as far as known, and has not said that it leaves. */
    public boolean isServing() {
        EndpointState state = record.state();
        return !leaving && (state == EndpointState.READY || state == EndpointState.SILENT);
    }

    /** Returns whether a new request may be sent there. */
    public boolean acceptsRequests(long nowMillis) {
        return isServing() && pushBack.admits(nowMillis, running);
    }

    /** Returns the health of the endpoint as measured by the requests of this host. */
    public HealthMeter health() {
        return health;
    }

    /** Records the start of a request that takes {@code requestTokens} of KV cache memory. */
    public void beginRequest(long requestTokens) {
        running += 1;
        memoryTokens += requestTokens;
    }

    /** Records the end of a request that was started with {@code requestTokens}. */
    public void endRequest(long requestTokens) {
        running -= 1;
        memoryTokens -= requestTokens;
        pushBack.recordEnd(running);
    }

    /** Records that this endpoint keeps a copy of the memory of a request on another endpoint. */
    public void beginCopy(long requestTokens) {
        copyTokens += requestTokens;
    }

    /** Records that the endpoint dropped a copy of {@code requestTokens}. */
    public void endCopy(long requestTokens) {
        copyTokens -= requestTokens;
    }

    /** Adds a prompt whose prefill takes {@code millis}, after those that are queued already. */
    public void beginPrefill(long nowMillis, long millis) {
        if (pendingPrefillMillis == 0) {
            prefillUpdatedAt = nowMillis;
        }
        pendingPrefillMillis += millis;
    }

    /** Removes a prompt whose prefill is complete or whose request ended before that. */
    public void endPrefill(long nowMillis, long millis) {
        pendingPrefillMillis -= millis;
        prefillUpdatedAt = nowMillis;
    }

    /** Returns the remaining prefill time in milliseconds of the prompts that this host placed. */
    public long localPrefillMillis(long nowMillis) {
        long left = pendingPrefillMillis - (nowMillis - prefillUpdatedAt);
        return Math.max(
                (long) (MIN_PREFILL_LEFT_SHARE * pendingPrefillMillis),
                Math.min(pendingPrefillMillis, left));
    }

    /**
     * Stores the load that another host reports to have placed here, replacing its earlier report.
     */
    public void updateRemoteLoad(HostId host, PlacedLoad load, long nowMillis) {
        rejectedUntilMillis = Long.MIN_VALUE;
        if (load.running() == 0 && load.tokens() == 0) {
            remoteLoads.remove(host);
        } else {
            remoteLoads.put(host, new RemoteLoad(load, nowMillis));
        }
    }

    /** Drops the reported load of another host that has placed nothing here or has ended. */
    public void removeRemoteLoad(HostId host) {
        remoteLoads.remove(host);
    }

    /** Records that the endpoint turned a request of this host away because it was full. */
    public void recordRejection(long nowMillis) {
        rejectedUntilMillis = nowMillis + REJECTION_MILLIS;
    }

    /** Returns whether the endpoint was full recently and no newer report of its load arrived. */
    public boolean hasRejectedRecently(long nowMillis) {
        return nowMillis < rejectedUntilMillis;
    }

    /** Returns how many requests of another host were running here by its last report. */
    public int remoteRunning(HostId host) {
        RemoteLoad remote = remoteLoads.get(host);
        return remote == null ? 0 : remote.load().running();
    }

    /** Returns the load that this host has placed here. */
    public PlacedLoad localLoad(long nowMillis) {
        return new PlacedLoad(
                record.id(), running, memoryTokens + copyTokens, localPrefillMillis(nowMillis));
    }

    /** Returns the load that all hosts have placed here, as far as their reports are valid. */
    public PlacedLoad totalLoad(long nowMillis) {
        int allRunning = running;
        long allTokens = memoryTokens + copyTokens;
        long prefill = localPrefillMillis(nowMillis) + remotePrefillMillis(nowMillis);
        for (RemoteLoad f : remoteLoads.values()) {
            if (f.isValid(nowMillis)) {
                allRunning += f.load().running();
                allTokens += f.load().tokens();
            }
        }
        return new PlacedLoad(record.id(), allRunning, allTokens, prefill);
    }

    /** Returns the remaining prefill time in milliseconds of the prompts of other hosts. */
    public long remotePrefillMillis(long nowMillis) {
        long prefill = 0;
        for (RemoteLoad f : remoteLoads.values()) {
            if (f.isValid(nowMillis)) {
                prefill +=
                        Math.max(0, f.load().prefillMillis() - (nowMillis - f.receivedAtMillis()));
            }
        }
        return prefill;
    }

    /** Returns how many requests of this host are running there. */
    public int running() {
        return running;
    }
}
