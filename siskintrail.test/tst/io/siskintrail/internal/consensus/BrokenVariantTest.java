package io.siskintrail.internal.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Shows that the oracle notices when one safety rule is missing. */
class BrokenVariantTest {
    private static final int MAX_RUNS = 200;
    private static final int ACTIONS = 400;

    /** A name and the rules that lack one. */
    private record Variant(String name, Supplier<SafetyRules> rules) {}

    @Provide
    Arbitrary<Variant> variants() {
        List<Variant> all = new ArrayList<>(commitVariants());
        all.addAll(electionVariants());
        return Arbitraries.of(all);
    }

    private static List<Variant> commitVariants() {
        return List.of(
                variant(
                        "vote is not synced",
                        new SafetyRules() {
                            @Override
                            boolean waitsForSync(ConsensusMessage message) {
                                return !(message instanceof ConsensusMessage.VoteReply);
                            }
                        }),
                variant(
                        "acknowledged entry is not synced",
                        new SafetyRules() {
                            @Override
                            boolean waitsForSync(ConsensusMessage message) {
                                return !(message instanceof ConsensusMessage.AppendReply);
                            }
                        }),
                variant(
                        "commit by an old term is counted",
                        new SafetyRules() {
                            @Override
                            boolean mayCommit(long entryTerm, long currentTerm) {
                                return true;
                            }
                        }));
    }

    private static List<Variant> electionVariants() {
        return List.of(
                variant(
                        "lease is ignored by voters",
                        new SafetyRules() {
                            @Override
                            boolean withholdsVote(long silentMillis, long electionMillis) {
                                return false;
                            }
                        }),
                variant(
                        "restart forgets the lease",
                        new SafetyRules() {
                            @Override
                            boolean waitsAfterStart() {
                                return false;
                            }
                        }),
                variant(
                        "candidate with an old log is elected",
                        new SafetyRules() {
                            @Override
                            boolean upToDate(long t, long i, long ownTerm, long ownIndex) {
                                return true;
                            }
                        }),
                variant(
                        "previous entry is not compared",
                        new SafetyRules() {
                            @Override
                            boolean checksPrevious() {
                                return false;
                            }
                        }),
                variant(
                        "two changes of the replica set at a time",
                        new SafetyRules() {
                            @Override
                            boolean oneChangeAtATime() {
                                return false;
                            }
                        }));
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void isCaught(@ForAll("variants") Variant variant) {
        int run = 0;
        String seen = null;
        while (seen == null && run < MAX_RUNS) {
            run++;
            seen = violation(run, variant.rules());
        }
        System.out.printf(
                "broken_variant name=\"%s\" runs=%d seen=\"%s\"%n", variant.name(), run, seen);
        assertWithMessage("violation of \"%s\" in %s runs", variant.name(), run)
                .that(seen)
                .isNotNull();
    }

    private static String violation(int run, Supplier<SafetyRules> rules) {
        try {
            FuzzRun.run(run % 2 == 0 ? 3 : 5, ACTIONS, run, rules);
            FuzzRun.figureEight(run, rules);
            FuzzRun.hideLeader(run, false, rules);
            FuzzRun.hideLeader(run, true, rules);
            FuzzRun.removeMajority(run, rules);
            return null;
        } catch (AssertionError e) {
            String text = e.toString().replaceAll("\\s+", " ");
            return text.substring(0, Math.min(160, text.length()));
        }
    }

    private static Variant variant(String name, SafetyRules rules) {
        return new Variant(name, () -> rules);
    }
}
