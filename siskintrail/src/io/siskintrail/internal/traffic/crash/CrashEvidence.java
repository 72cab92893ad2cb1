package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfContent;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfParts;
import io.siskintrail.internal.traffic.placement.PromptPart;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;

/**
 * The crashes of one evaluation with those parts of their suspects that are not known to be sound,
 * and the signatures that could explain them.
 */
final class CrashEvidence {
    private static final int MAX_GROUPS = 128;
    private static final int MAX_CANDIDATES = 512;
    private static final int MIN_SUPPORT = 2;

    final List<Crash> crashes;

    /** For each crash the parts of each suspect that are not known to be sound. */
    final List<Map<Fingerprint, Set<PromptPart>>> unsound = new ArrayList<>();

    private final Map<Set<PromptPart>, BitSet> groups = new LinkedHashMap<>();
    private final Map<Fingerprint, BitSet> contents = new LinkedHashMap<>();

    /**
     * Creates the evidence.
     *
     * @param crashes in the order of time
     * @param sound whether a part is known not to have caused a crash
     */
    CrashEvidence(List<Crash> crashes, BiPredicate<PromptPart, Crash> sound) {
        this.crashes = crashes;
        for (Crash crash : crashes) {
            unsound.add(findUnsound(crash, sound));
        }
        for (int i = crashes.size() - 1; i >= 0; i--) {
            index(i);
        }
    }

    /** Returns the signatures that at least two crashes have in common. */
    List<CrashCandidate> findCandidates() {
        List<CrashCandidate> candidates = new ArrayList<>();
        for (Set<PromptPart> parts : findCommonParts()) {
            addCandidate(candidates, new CrashCandidate(new OfParts(parts), findHolders(parts)));
        }
        contents.forEach(
                (content, holders) ->
                        addCandidate(
                                candidates, new CrashCandidate(new OfContent(content), holders)));
        return candidates;
    }

    /** Returns the contents of the suspects of a crash that the signature matches. */
    Set<Fingerprint> findHolders(int crash, CrashSignature signature) {
        Set<Fingerprint> holders = new HashSet<>();
        unsound.get(crash)
                .forEach(
                        (content, parts) -> {
                            if (signature.matches(content, parts)) {
                                holders.add(content);
                            }
                        });
        return holders;
    }

    /** Returns whether another suspect of the crash has parts that could have caused it. */
    boolean hasOtherSuspect(int crash, CrashSignature signature) {
        return unsound.get(crash).entrySet().stream()
                .anyMatch(
                        e ->
                                !e.getValue().isEmpty()
                                        && !signature.matches(e.getKey(), e.getValue()));
    }

    private static Map<Fingerprint, Set<PromptPart>> findUnsound(
            Crash crash, BiPredicate<PromptPart, Crash> sound) {
        Map<Fingerprint, Set<PromptPart>> found = new HashMap<>();
        crash.suspects.forEach(
                (content, parts) -> {
                    Set<PromptPart> rest = new HashSet<>(parts);
                    rest.removeIf(part -> sound.test(part, crash));
                    found.put(content, rest);
                });
        return found;
    }

    private void index(int crash) {
        unsound.get(crash)
                .forEach(
                        (content, parts) -> {
                            contents.computeIfAbsent(content, c -> new BitSet()).set(crash);
                            if (!parts.isEmpty()
                                    && (groups.containsKey(parts) || groups.size() < MAX_GROUPS)) {
                                groups.computeIfAbsent(parts, p -> new BitSet()).set(crash);
                            }
                        });
    }

    /** Returns the sets of parts of the suspects and their intersections. */
    private List<Set<PromptPart>> findCommonParts() {
        Set<Set<PromptPart>> known = new HashSet<>(groups.keySet());
        List<Set<PromptPart>> found = new ArrayList<>(groups.keySet());
        for (int i = 0; i < found.size(); i++) {
            for (Set<PromptPart> group : groups.keySet()) {
                Set<PromptPart> common = new HashSet<>(found.get(i));
                common.retainAll(group);
                if (!common.isEmpty() && found.size() < MAX_CANDIDATES && known.add(common)) {
                    found.add(common);
                }
            }
        }
        return found;
    }

    private BitSet findHolders(Set<PromptPart> parts) {
        BitSet holders = new BitSet();
        groups.forEach(
                (group, crashesOfGroup) -> {
                    if (group.containsAll(parts)) {
                        holders.or(crashesOfGroup);
                    }
                });
        return holders;
    }

    private static void addCandidate(List<CrashCandidate> candidates, CrashCandidate candidate) {
        if (candidate.holders().cardinality() >= MIN_SUPPORT) {
            candidates.add(candidate);
        }
    }
}
