package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import java.util.List;
import java.util.Map;

/** Action that the analysis of crashes asks its runtime to carry out. */
public sealed interface CrashEffect {

    /** Tells all other hosts which requests of this host were unanswered on a crashed endpoint. */
    record ReportCrash(EndpointId endpoint, List<CrashSuspect> suspects) implements CrashEffect {}

    /**
     * Tells all other hosts that requests with each of these parts were answered here, and how many
     * milliseconds ago.
     */
    record ReportSound(Map<PromptPart, Long> ageMillis) implements CrashEffect {}

    /**
     * Tells all other hosts and the registries to refuse a signature for {@code millis} ms, or the
     * registries to forget a refusal if 0.
     */
    record Announce(CrashSignature signature, long millis) implements CrashEffect {}

    /** Starts ({@code on}) or stops refusing requests with the signature at this host. */
    record SignatureRefused(CrashSignature signature, boolean on) implements CrashEffect {}

    /** Asks for a tick after {@code delayMillis} milliseconds. */
    record Evaluate(long delayMillis) implements CrashEffect {}
}
