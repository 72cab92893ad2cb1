package io.siskintrail.internal.traffic;

import io.siskintrail.lib.HostId;
import java.util.HashMap;
import java.util.Map;

/**
 * What one host knows of an endpoint: its record, the work that this host placed there, and what
 * other hosts say that they placed. Not safe for use by several threads.
 */
public final class EndpointView {
    /** Time that the word of another host counts, in milliseconds; two repetitions of it. */
    private static final long FOREIGN_MILLIS = 10_000;

    /** Part of a prompt that is always taken to be left until its first event comes. */
    private static final double LEAST_LEFT = 0.15;

    private EndpointRecord record;
    private final HealthMeter health = new HealthMeter();
    private final Map<HostId, Foreign> foreign = new HashMap<>();
    private int running;
    private long tokens;
    private long copiedTokens;
    private long pendingPrefill;
    private long prefillSince;

    /** What another host placed, and when it said so. */
    private record Foreign(PlacedLoad load, long atMillis) {

        boolean counts(long nowMillis) {
            return nowMillis - atMillis < FOREIGN_MILLIS;
        }
    }

    /** Makes a view without any work. */
    public EndpointView(EndpointRecord record) {
        this.record = record;
    }

    /** Returns what the endpoint said of itself last. */
    public EndpointRecord record() {
        return record;
    }

    /** Replaces the record by a newer one of the same incarnation. */
    public void update(EndpointRecord next) {
        record = next;
    }

    /** Returns what this host saw of its own requests. */
    public HealthMeter health() {
        return health;
    }

    /** Notes that a request with {@code requestTokens} in memory begins. */
    public void begin(long requestTokens) {
        running += 1;
        tokens += requestTokens;
    }

    /** Notes that a request that was begun with {@code requestTokens} has ended. */
    public void end(long requestTokens) {
        running -= 1;
        tokens -= requestTokens;
    }

    /** Notes that the memory of a request elsewhere is copied here. */
    public void beginCopy(long requestTokens) {
        copiedTokens += requestTokens;
    }

    /** Notes that a copy is no longer kept. */
    public void endCopy(long requestTokens) {
        copiedTokens -= requestTokens;
    }

    /** Notes that a prompt is to be read, which takes {@code millis} after those before it. */
    public void beginPrefill(long nowMillis, long millis) {
        if (pendingPrefill == 0) {
            prefillSince = nowMillis;
        }
        pendingPrefill += millis;
    }

    /** Notes that a prompt was read, or that its request ended before. */
    public void endPrefill(long nowMillis, long millis) {
        pendingPrefill -= millis;
        prefillSince = nowMillis;
    }

    /** Returns how long prompts of this host still keep the endpoint busy. */
    public long ownPrefillMillis(long nowMillis) {
        long left = pendingPrefill - (nowMillis - prefillSince);
        return Math.max((long) (LEAST_LEFT * pendingPrefill), Math.min(pendingPrefill, left));
    }

    /** Takes the word of another host. */
    public void placedElsewhere(HostId host, PlacedLoad load, long nowMillis) {
        if (load.running() == 0 && load.tokens() == 0) {
            foreign.remove(host);
        } else {
            foreign.put(host, new Foreign(load, nowMillis));
        }
    }

    /** Takes the word that another host has placed nothing here, or is gone. */
    public void nothingPlacedBy(HostId host) {
        foreign.remove(host);
    }

    /** Returns what this host has placed here. */
    public PlacedLoad own(long nowMillis) {
        return new PlacedLoad(
                record.id(), running, tokens + copiedTokens, ownPrefillMillis(nowMillis));
    }

    /** Returns what all hosts have placed here, as far as known. */
    public PlacedLoad total(long nowMillis) {
        int allRunning = running;
        long allTokens = tokens + copiedTokens;
        long prefill = ownPrefillMillis(nowMillis);
        for (Foreign f : foreign.values()) {
            if (f.counts(nowMillis)) {
                allRunning += f.load().running();
                allTokens += f.load().tokens();
                prefill += Math.max(0, f.load().prefillMillis() - (nowMillis - f.atMillis()));
            }
        }
        return new PlacedLoad(record.id(), allRunning, allTokens, prefill);
    }

    /** Returns the requests of this host that run there. */
    public int running() {
        return running;
    }
}
