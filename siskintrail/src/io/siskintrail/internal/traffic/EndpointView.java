package io.siskintrail.internal.traffic;

/**
 * What one host knows of an endpoint: its record, and the work that this host placed there. Not
 * safe for use by several threads.
 */
public final class EndpointView {
    private EndpointRecord record;
    private final HealthMeter health = new HealthMeter();
    private int running;
    private long tokens;
    private long copiedTokens;
    private long prefillUntil = Long.MIN_VALUE;

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
    public void addPrefill(long nowMillis, long millis) {
        prefillUntil = Math.max(nowMillis, prefillUntil) + millis;
    }

    /** Returns how long prompts that were placed before keep the endpoint busy. */
    public long prefillMillis(long nowMillis) {
        return prefillUntil <= nowMillis ? 0 : prefillUntil - nowMillis;
    }

    /** Returns the requests of this host that run there. */
    public int running() {
        return running;
    }

    /** Returns the tokens in memory there on account of this host, copies included. */
    public long tokens() {
        return tokens + copiedTokens;
    }
}
