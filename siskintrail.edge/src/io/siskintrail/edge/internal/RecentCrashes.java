package io.siskintrail.edge.internal;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.lib.EndpointId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.stream.Collectors;

/** Latest crashes that this edge saw or was told of, to name them in the log. */
final class RecentCrashes {
    private static final int MAX_CRASHES = 64;

    private final Deque<Crash> crashes = new ArrayDeque<>();

    /** An endpoint that crashed and what ran on it. */
    private record Crash(EndpointId endpoint, Set<Fingerprint> contents) {}

    /** Adds a crash; drops the oldest one beyond the maximum. */
    void add(EndpointId endpoint, Set<Fingerprint> contents) {
        if (crashes.size() == MAX_CRASHES) {
            crashes.removeFirst();
        }
        crashes.addLast(new Crash(endpoint, Set.copyOf(contents)));
    }

    /** Returns the endpoints that ran {@code content} when they crashed, empty if none is known. */
    String describeThoseOf(Fingerprint content) {
        return crashes.stream()
                .filter(crash -> crash.contents.contains(content))
                .map(crash -> crash.endpoint.value())
                .distinct()
                .collect(Collectors.joining(","));
    }
}
