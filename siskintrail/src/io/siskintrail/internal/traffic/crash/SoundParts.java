package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.traffic.placement.PromptPart;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Remembers the parts of prompts that were answered, here or at another host. A part that crashes
 * endpoints does so whatever else the request holds, so an answered request clears all its parts. A
 * host vouches only for parts that it saw answered itself, so that no two hosts keep each other's
 * word alive. Not thread-safe.
 */
final class SoundParts {
    /** Period for which an answer clears a part. */
    static final long SOUND_MILLIS = 600_000;

    static final int MAX_PARTS = 16_384;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Shortest time between two words of this host about the same part. */
    private static final long TELL_INTERVAL_MILLIS = 1_000;

    /** Time for which another host's word stands against a refusal that is announced then. */
    private static final long RECENT_WORD_MILLIS = 2_000;

    /** Crashes with a part after its last answer that refute the answer. */
    private static final int MIN_CRASHES_AFTER_ANSWER = 4;

    /** Moments of such crashes that refute the answer although many endpoints died at once. */
    private static final int MIN_MOMENTS_AFTER_ANSWER = 5;

    private final CrashMemory crashes;
    private final Map<PromptPart, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);

    private static final class Entry {
        private long answeredAt = NEVER;
        private long answeredElsewhereAt = NEVER;
        private long vouchedAt = NEVER;
        private long toldAt = NEVER;
        private long objectedAt = NEVER;
    }

    SoundParts(CrashMemory crashes) {
        this.crashes = crashes;
    }

    /** Records that an endpoint began to answer a request of this host with these parts. */
    void recordAnswered(Set<PromptPart> parts, long nowMillis) {
        parts.forEach(part -> touch(part).answeredAt = nowMillis);
        evict();
    }

    /**
     * Records that another host saw requests with these parts answered so many milliseconds ago.
     * Returns the parts of which that is accepted: the other host may have missed the crashes that
     * came after its answer.
     */
    Set<PromptPart> recordVouched(Map<PromptPart, Long> ageMillis, long nowMillis) {
        Set<PromptPart> accepted = new HashSet<>();
        ageMillis.forEach(
                (part, age) -> {
                    long answeredAt = nowMillis - Math.max(0, age);
                    if (!crashedSince(part, answeredAt)) {
                        Entry entry = touch(part);
                        entry.answeredElsewhereAt = Math.max(entry.answeredElsewhereAt, answeredAt);
                        entry.vouchedAt = nowMillis;
                        accepted.add(part);
                    }
                });
        evict();
        return accepted;
    }

    /** Drops old words of other hosts for these parts: one of the hosts has refused them since. */
    void dropVouched(Set<PromptPart> parts, long nowMillis) {
        for (PromptPart part : parts) {
            Entry entry = entries.get(part);
            if (entry != null && nowMillis - entry.vouchedAt >= RECENT_WORD_MILLIS) {
                entry.answeredElsewhereAt = NEVER;
            }
        }
    }

    /** Returns whether the part was answered anywhere and has not crashed endpoints since. */
    boolean isSound(PromptPart part, long nowMillis) {
        Entry entry = entries.get(part);
        return isRecent(entry, nowMillis) && !crashedSince(part, baseline(entry));
    }

    /** Returns whether the part was answered anywhere, whatever crashed since. */
    boolean isRecentlyAnswered(PromptPart part, long nowMillis) {
        return isRecent(entries.get(part), nowMillis);
    }

    /**
     * Returns whether this host itself answered the part and it has not crashed endpoints since.
     */
    boolean isSoundHere(PromptPart part, long nowMillis) {
        Entry entry = entries.get(part);
        return entry != null
                && nowMillis - entry.answeredAt < SOUND_MILLIS
                && !crashedSince(part, entry.answeredAt);
    }

    /** Returns whether the part was answered here after the given time. */
    boolean isAnsweredSince(PromptPart part, long atMillis) {
        Entry entry = entries.get(part);
        return entry != null && entry.answeredAt >= atMillis;
    }

    /** Returns the parts that this host may vouch for and has not within the last second. */
    Set<PromptPart> takeWord(Set<PromptPart> parts, long nowMillis) {
        Set<PromptPart> taken = new HashSet<>();
        for (PromptPart part : parts) {
            if (isSoundHere(part, nowMillis)
                    && nowMillis - entries.get(part).toldAt >= TELL_INTERVAL_MILLIS) {
                entries.get(part).toldAt = nowMillis;
                taken.add(part);
            }
        }
        return taken;
    }

    /** Returns the parts that this host vouches for against a refusal, at most once a second. */
    Set<PromptPart> takeObjection(Set<PromptPart> parts, long nowMillis) {
        Set<PromptPart> taken = new HashSet<>();
        for (PromptPart part : parts) {
            if (isSoundHere(part, nowMillis)
                    && nowMillis - entries.get(part).objectedAt >= TELL_INTERVAL_MILLIS) {
                entries.get(part).objectedAt = nowMillis;
                taken.add(part);
            }
        }
        return taken;
    }

    /** Returns for how many milliseconds these parts have not been answered here. */
    Map<PromptPart, Long> ages(Set<PromptPart> parts, long nowMillis) {
        return parts.stream()
                .collect(
                        Collectors.toUnmodifiableMap(
                                part -> part, part -> nowMillis - entries.get(part).answeredAt));
    }

    int size() {
        return entries.size();
    }

    private Entry touch(PromptPart part) {
        return entries.computeIfAbsent(part, p -> new Entry());
    }

    private void evict() {
        var oldest = entries.keySet().iterator();
        while (entries.size() > MAX_PARTS) {
            oldest.next();
            oldest.remove();
        }
    }

    private boolean crashedSince(PromptPart part, long sinceMillis) {
        return isEnough(crashes.findSuspected(part, sinceMillis));
    }

    /** Returns whether the crashes, the loss of many endpoints at once apart, refute an answer. */
    private static boolean isEnough(List<Crash> after) {
        return after.size() >= MIN_CRASHES_AFTER_ANSWER
                && (after.stream().filter(c -> !c.isOneOfMany).count() >= MIN_CRASHES_AFTER_ANSWER
                        || CrashMoments.count(after) >= MIN_MOMENTS_AFTER_ANSWER);
    }

    private static boolean isRecent(Entry entry, long now) {
        return entry != null && now - baseline(entry) < SOUND_MILLIS;
    }

    private static long baseline(Entry entry) {
        return Math.max(entry.answeredAt, entry.answeredElsewhereAt);
    }
}
