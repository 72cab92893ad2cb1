package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfContent;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Chooses the signatures that explain the crashes, the one with most support first. Crashes that a
 * chosen signature explains are no evidence for or against any other.
 */
final class CrashCauses {
    /** Time within which deaths of several endpoints may share a cause. */
    private static final long SAME_CAUSE_MILLIS = 1_000;

    /** Time within which a further crash speaks against a content as the only cause. */
    private static final long NEARBY_MILLIS = 10_000;

    /** Other endpoints that die at about the same time before a shared cause is assumed. */
    private static final int MIN_OTHERS = 2;

    /** Crashes that accept a signature although other suspects could explain them. */
    private static final int MIN_SUPPORT = 3;

    /** Crashes that accept a signature if nothing else explains them. */
    private static final int MIN_SUPPORT_ALONE = 2;

    /** Moments at which the crashes of a signature must have come at least. */
    private static final int MIN_MOMENTS = 2;

    /** Moments of crashes from which on a shared cause no longer speaks against parts. */
    private static final int MOMENTS_OF_CAUSE = 3;

    /** Crashes up to which a signature waits while another one explains the same crashes. */
    private static final int MIN_SUPPORT_AMBIGUOUS = 5;

    private static final Comparator<Choice> ORDER =
            Comparator.comparingInt(Choice::support)
                    .thenComparing(c -> c.candidate.isOfParts())
                    .thenComparingInt(Choice::contents)
                    .thenComparing(c -> c.candidate.order());

    private final CrashEvidence evidence;
    private final BitSet settled;
    private final BitSet unexplained = new BitSet();
    private final List<CrashSignature> chosen = new ArrayList<>();

    private record Choice(CrashCandidate candidate, BitSet counted, int contents) {
        int support() {
            return counted.cardinality();
        }

        /** Returns whether it explains the same crashes by fewer parts than another choice. */
        boolean isPartOf(Choice other) {
            return this != other
                    && counted.equals(other.counted)
                    && RefusedSignatures.covers(candidate.signature(), other.candidate.signature());
        }
    }

    /**
     * Creates an empty choice.
     *
     * @param settled the number of crashes, the oldest, about which all hosts had time to report
     */
    CrashCauses(CrashEvidence evidence, int settled) {
        this.evidence = evidence;
        this.settled = new BitSet();
        this.settled.set(0, settled);
        unexplained.set(0, evidence.crashes.size());
    }

    /** Takes a signature as chosen that was found before. */
    void presume(CrashSignature signature) {
        chosen.add(signature);
        for (int i = 0; i < evidence.crashes.size(); i++) {
            if (evidence.crashes.get(i).matches(signature)) {
                unexplained.clear(i);
            }
        }
    }

    /** Chooses until no signature explains further crashes. */
    void choose() {
        List<CrashCandidate> candidates = evidence.findCandidates();
        for (Choice best = findBest(candidates); best != null; best = findBest(candidates)) {
            chosen.add(best.candidate.signature());
            unexplained.andNot(best.candidate.holders());
        }
    }

    private Choice findBest(List<CrashCandidate> candidates) {
        List<Choice> choices =
                candidates.stream()
                        .map(this::count)
                        .filter(c -> c.support() >= MIN_SUPPORT_ALONE)
                        .toList();
        List<Choice> accepted =
                choices.stream()
                        .filter(c -> choices.stream().noneMatch(c::isPartOf))
                        .filter(this::isAccepted)
                        .toList();
        return accepted.stream().filter(c -> !isAmbiguous(c, accepted)).max(ORDER).orElse(null);
    }

    /** Returns whether another choice explains the same few crashes. */
    private static boolean isAmbiguous(Choice choice, List<Choice> accepted) {
        return choice.support() < MIN_SUPPORT_AMBIGUOUS
                && accepted.stream().anyMatch(c -> c != choice && c.counted.equals(choice.counted));
    }

    /** Returns the chosen signatures, best first. */
    List<CrashSignature> chosen() {
        return chosen;
    }

    /** Returns the crashes that count for the candidate, all when it clearly is a cause. */
    private Choice count(CrashCandidate candidate) {
        BitSet held = (BitSet) candidate.holders().clone();
        held.and(unexplained);
        held.and(settled);
        BitSet counted = new BitSet();
        held.stream().filter(i -> !hasOtherCause(i, candidate)).forEach(counted::set);
        boolean cause =
                counted.cardinality() >= MIN_SUPPORT
                        || candidate.isOfParts() && countMoments(held) >= MOMENTS_OF_CAUSE;
        BitSet counting = cause ? held : counted;
        return new Choice(candidate, counting, countContents(candidate, counting));
    }

    private int countContents(CrashCandidate candidate, BitSet counting) {
        Set<Fingerprint> contents = new HashSet<>();
        counting.stream()
                .forEach(i -> contents.addAll(evidence.findHolders(i, candidate.signature())));
        return contents.size();
    }

    /** Returns whether so many endpoints died at about the same time that they share a cause. */
    private boolean hasOtherCause(int crash, CrashCandidate candidate) {
        int others = 0;
        int atOnce = 0;
        long at = evidence.crashes.get(crash).atMillis;
        for (int i = unexplained.nextSetBit(0); i >= 0; i = unexplained.nextSetBit(i + 1)) {
            long distance = Math.abs(evidence.crashes.get(i).atMillis - at);
            boolean other = i != crash && distance < SAME_CAUSE_MILLIS;
            others += other && !candidate.holders().get(i) ? 1 : 0;
            atOnce += other && distance <= CrashMemory.AT_ONCE_MILLIS ? 1 : 0;
        }
        return others >= MIN_OTHERS || atOnce >= MIN_OTHERS;
    }

    private boolean isAccepted(Choice choice) {
        if (countMoments(choice.counted) < MIN_MOMENTS) {
            return false;
        }
        boolean clear =
                choice.support() >= MIN_SUPPORT || isAlone(choice) && !hasOtherNearby(choice);
        return clear && (choice.candidate.isOfParts() ? isShared(choice) : isOnlyCommon(choice));
    }

    /** Returns whether no other suspect has parts that could explain one of the crashes. */
    private boolean isAlone(Choice choice) {
        CrashSignature signature = choice.candidate.signature();
        return choice.counted.stream().noneMatch(i -> evidence.hasOtherSuspect(i, signature));
    }

    /** Returns whether another crash shows that a content is not the only cause of that time. */
    private boolean hasOtherNearby(Choice choice) {
        if (choice.candidate.isOfParts()) {
            return false;
        }
        long last = evidence.crashes.get(choice.counted.length() - 1).atMillis;
        return unexplained.stream()
                .filter(i -> !choice.candidate.holders().get(i))
                .mapToLong(i -> evidence.crashes.get(i).atMillis)
                .anyMatch(at -> Math.abs(at - last) < NEARBY_MILLIS);
    }

    /** Returns whether no single content with the parts explains the crashes as well. */
    private boolean isShared(Choice choice) {
        Set<Fingerprint> common = null;
        for (int i : choice.counted.stream().toArray()) {
            Set<Fingerprint> holders = evidence.findHolders(i, choice.candidate.signature());
            if (common == null) {
                common = holders;
            }
            common.retainAll(holders);
        }
        return common != null && common.isEmpty();
    }

    private boolean isOnlyCommon(Choice choice) {
        Set<Fingerprint> common = null;
        for (int i : choice.counted.stream().toArray()) {
            Set<Fingerprint> suspects = evidence.crashes.get(i).suspects.keySet();
            if (common == null) {
                common = new HashSet<>(suspects);
            }
            common.retainAll(suspects);
        }
        OfContent signature = (OfContent) choice.candidate.signature();
        return Set.of(signature.content()).equals(common);
    }

    private int countMoments(BitSet crashes) {
        return CrashMoments.count(crashes.stream().mapToObj(evidence.crashes::get).toList());
    }
}
