package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/** Keeps the crashes that count as evidence, in the order of time. Not thread-safe. */
final class CrashMemory {
    /** Period for which a crash counts as evidence. */
    static final long EVIDENCE_MILLIS = 600_000;

    static final int MAX_CRASHES = 1_024;

    /** Period within which the losses of a failure domain come. */
    static final long AT_ONCE_MILLIS = 300;

    private static final int MIN_AT_ONCE = 3;
    private static final long SAME_CRASH_MILLIS = 1_500;

    private final ArrayDeque<Crash> crashes = new ArrayDeque<>();

    /** Contents of the suspects of all crashes, so that most answers need no search. */
    private final Set<Fingerprint> contents = new HashSet<>();

    /** Returns the crash of {@code endpoint} that is under way, or null when there is none. */
    Crash find(EndpointId endpoint, long nowMillis) {
        Iterator<Crash> newest = crashes.descendingIterator();
        while (newest.hasNext()) {
            Crash crash = newest.next();
            if (nowMillis - crash.atMillis >= SAME_CRASH_MILLIS) {
                return null;
            }
            if (crash.endpoint.equals(endpoint)) {
                return crash;
            }
        }
        return null;
    }

    /** Adds a crash without suspects; forgets the oldest when there are too many. */
    Crash add(EndpointId endpoint, long nowMillis) {
        Crash crash = new Crash(endpoint, nowMillis);
        crashes.addLast(crash);
        markAtOnce(nowMillis);
        if (crashes.size() > MAX_CRASHES) {
            removeFirst();
        }
        return crash;
    }

    /** Marks the newest crashes when so many came at once that they share another cause. */
    private void markAtOnce(long now) {
        Iterator<Crash> newest = crashes.descendingIterator();
        List<Crash> atOnce = new ArrayList<>();
        while (newest.hasNext()) {
            Crash crash = newest.next();
            if (now - crash.atMillis > AT_ONCE_MILLIS) {
                break;
            }
            atOnce.add(crash);
        }
        if (atOnce.size() >= MIN_AT_ONCE) {
            atOnce.forEach(crash -> crash.isOneOfMany = true);
        }
    }

    void expire(long nowMillis) {
        while (!crashes.isEmpty() && nowMillis - crashes.peekFirst().atMillis >= EVIDENCE_MILLIS) {
            removeFirst();
        }
    }

    private void removeFirst() {
        Crash removed = crashes.removeFirst();
        for (Fingerprint content : removed.suspects.keySet()) {
            if (crashes.stream().noneMatch(c -> c.suspects.containsKey(content))) {
                contents.remove(content);
            }
        }
    }

    /** Joins the suspects of one report to a crash; returns whether one of them is new. */
    boolean join(Crash crash, List<CrashSuspect> suspects) {
        boolean changed = crash.join(suspects);
        contents.addAll(crash.suspects.keySet());
        return changed;
    }

    /** Removes an answered content from the suspects of all crashes. */
    void clear(Fingerprint content) {
        if (contents.remove(content)) {
            crashes.forEach(crash -> crash.suspects.remove(content));
        }
    }

    List<Crash> all() {
        return new ArrayList<>(crashes);
    }

    /** Returns the crashes after {@code sinceMillis} that the part could have caused. */
    List<Crash> findSuspected(PromptPart part, long sinceMillis) {
        return crashes.stream()
                .filter(c -> c.atMillis > sinceMillis && c.isSuspected(part))
                .toList();
    }
}
