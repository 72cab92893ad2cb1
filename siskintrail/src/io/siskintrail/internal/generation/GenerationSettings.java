package io.siskintrail.internal.generation;

/**
 * Timeouts and limits of the request path. All times are in milliseconds.
 *
 * @param maxAttempts number of failed attempts after which the generation ends with an error
 * @param silenceFloor minimum silence after which an endpoint with several streams counts as lost
 * @param silenceFloorAlone minimum silence after which an endpoint with one stream counts as lost
 * @param silenceCeiling upper limit of the silence derived from {@code silenceGaps}; raised to 2.5
 *     average gaps of the endpoint where those are longer
 * @param silenceGaps silence limit in multiples of the endpoint's average gap between tokens
 * @param stall minimum silence after which one stream counts as stalled while others of its
 *     endpoint go on
 * @param firstToken timeout for the first token of an attempt
 * @param recoveryConcurrency maximum number of resumptions per stripe that recompute their prefix
 *     at the same time
 * @param suspectHold pause before the next attempt of a generation that lost two or more endpoints
 * @param versionWait how long a generation waits for a slot, for example at an endpoint of the
 *     pinned version
 * @param retryPause pause before the next attempt after a slot or an engine refused one
 * @param retransmit timeout after which an unacknowledged copy is sent again
 * @param buddyTimeout silence of the buddy after which another one is chosen
 * @param suspicion how long a router that was silent is not chosen as buddy
 * @param probeAfter silence of an owner after which its buddy probes it
 * @param takeoverAfter silence of an owner after which its buddy takes over
 * @param lookupTimeout timeout for the answers of other routers about an unknown key
 * @param relayRenewal interval between renewals of a subscription at the owner
 * @param reconnectDeadline how long the router looks for a lost owner before the caller gets an
 *     error
 * @param orphanGrace how long a generation continues without a caller
 * @param retention how long the journal of an ended generation is kept
 * @param pauseGap time between two ticks above which this process counts as having been paused
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
