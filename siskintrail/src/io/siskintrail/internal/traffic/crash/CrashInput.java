package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Event that the analysis of crashes handles. */
public sealed interface CrashInput {

    /** An endpoint crashed while it held unanswered requests of this host. */
    record Crashed(EndpointId endpoint, List<CrashSuspect> suspects) implements CrashInput {}

    /** Another host reported its unanswered requests on an endpoint that crashed. */
    record Reported(HostId host, EndpointId endpoint, List<CrashSuspect> suspects)
            implements CrashInput {}

    /** An endpoint began to answer a request with this content and these parts. */
    record Answered(Fingerprint content, Set<PromptPart> parts) implements CrashInput {}

    /** Another host saw requests with each of these parts answered, so many milliseconds ago. */
    record ReportedSound(Map<PromptPart, Long> ageMillis) implements CrashInput {}

    /** Another host or a registry refuses the signature for {@code millis} more milliseconds. */
    record Announced(CrashSignature signature, long millis) implements CrashInput {}

    /** Lets refusals and evidence expire and evaluates new crashes. */
    record Tick() implements CrashInput {}
}
