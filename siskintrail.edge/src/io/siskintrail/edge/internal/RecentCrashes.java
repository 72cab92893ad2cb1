package io.siskintrail.edge.internal;

import io.siskintrail.internal.traffic.crash.CrashSignature;
import io.siskintrail.internal.traffic.crash.CrashSuspect;
import io.siskintrail.lib.EndpointId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.stream.Collectors;

/** Latest crashes that this edge saw or was told of, to name them in the log. */
final class RecentCrashes {
    private static final int MAX_CRASHES = 64;

    private final Deque<Crash> crashes = new ArrayDeque<>();

    /** An endpoint that crashed and the requests that it had not begun to answer. */
    private record Crash(EndpointId endpoint, List<CrashSuspect> suspects) {
        boolean matches(CrashSignature signature) {
            return suspects.stream().anyMatch(s -> signature.matches(s.content(), s.parts()));
        }
    }

    /** Adds a crash; drops the oldest one beyond the maximum. */
    void add(EndpointId endpoint, List<CrashSuspect> suspects) {
        if (crashes.size() == MAX_CRASHES) {
            crashes.removeFirst();
        }
        crashes.addLast(new Crash(endpoint, List.copyOf(suspects)));
    }

    /** Returns the endpoints that crashed with a matching suspect, empty if none is known. */
    String describeThoseOf(CrashSignature signature) {
        return crashes.stream()
                .filter(crash -> crash.matches(signature))
                .map(crash -> crash.endpoint.value())
                .distinct()
                .collect(Collectors.joining(","));
    }
}
