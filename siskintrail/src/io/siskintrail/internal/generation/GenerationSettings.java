package io.siskintrail.internal.generation;

/**
 * Bounds of the request path. All times are in milliseconds.
 *
 * @param maxAttempts attempts that failed before the generation ends with an error
 * @param silenceFloor least silence of an endpoint with several streams that counts as its loss
 * @param silenceFloorAlone the same for an endpoint with one stream
 * @param silenceCeiling most silence that is waited for, also from a slow endpoint
 * @param silenceGaps silence in multiples of the endpoint's usual gap between tokens
 * @param stall silence of one stream while others of its endpoint go on
 * @param firstToken bound for the first token of an attempt
 * @param recoveryConcurrency resumptions of one stripe that recompute their prefix at a time
 * @param suspectHold pause before the next attempt after two endpoints were lost
 * @param versionWait how long an endpoint of the pinned version is waited for
 * @param retryPause pause before another attempt when none could start
 * @param retransmit pause before an unacknowledged copy is sent again
 * @param buddyTimeout silence of the buddy after which another one is chosen
 * @param suspicion how long a silent router is not chosen as buddy
 * @param probeAfter silence of an owner after which its buddy probes it
 * @param takeoverAfter silence of an owner after which its buddy takes over
 * @param lookupTimeout how long answers about an unknown key are waited for
 * @param relayRenewal pause between two renewals of a subscription at the owner
 * @param reconnectDeadline how long a lost owner is searched before the caller gets an error
 * @param orphanGrace how long a generation goes on without a caller
 * @param retention how long the journal of an ended generation is kept
 * @param pauseGap time between two ticks that shows that this process was paused
 */
public record GenerationSettings(
        int maxAttempts,
        long silenceFloor,
        long silenceFloorAlone,
        long silenceCeiling,
        int silenceGaps,
        long stall,
        long firstToken,
        int recoveryConcurrency,
        long suspectHold,
        long versionWait,
        long retryPause,
        long retransmit,
        long buddyTimeout,
        long suspicion,
        long probeAfter,
        long takeoverAfter,
        long lookupTimeout,
        long relayRenewal,
        long reconnectDeadline,
        long orphanGrace,
        long retention,
        long pauseGap) {

    /** Returns the defaults of the router. */
    public static GenerationSettings defaults() {
        return new GenerationSettings(
                8, 400, 800, 1_500, 8, 2_000, 10_000, 32, 600, 3_000, 100, 60, 300, 3_000, 200, 800,
                150, 300, 5_000, 10_000, 120_000, 400);
    }
}
