package io.siskintrail.bench.promises;

import io.siskintrail.fake.FakeTokens;
import io.siskintrail.lib.ModelId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Judges the evidence of a run. */
final class PromiseChecks {
    private final ModelId model;

    PromiseChecks(ModelId model) {
        this.model = model;
    }

    /** Returns one verdict for each promise. */
    List<Verdict> judge(Evidence evidence) {
        return List.of(
                over(Promise.TOKENS, evidence.generations(), PromiseChecks::tokenFault),
                over(Promise.UNMIXED, evidence.generations(), g -> mixFault(g, evidence.salts())),
                ownAnswers(evidence),
                notRun(evidence),
                over(
                        Promise.ORDER_ONCE,
                        List.copyOf(evidence.executions().entrySet()),
                        e -> e.getValue() > 1 ? e.getKey() + " ran " + e.getValue() : null),
                over(
                        Promise.LEAVING,
                        evidence.leaves(),
                        l -> l.lateStarts() > 0 ? l.endpoint() + " got " + l.lateStarts() : null),
                over(Promise.GRACEFUL, evidence.cutByShutdown(), cut -> cut),
                configuration(evidence));
    }

    /** Returns what is wrong with the offsets or the number of tokens, null for nothing. */
    private static String tokenFault(GenerationEvidence g) {
        int next = 0;
        for (int i = 0; i < g.offsets().size(); i++) {
            int offset = g.offsets().get(i);
            if (offset < next) {
                return "%s: offset %d after %d".formatted(g.marker(), offset, next);
            }
            next = offset;
        }
        if (next != g.tokens().size()) {
            return "%s: offset %d with %d tokens".formatted(g.marker(), next, g.tokens().size());
        }
        boolean whole = g.end() == GenerationEvidence.End.WHOLE;
        if (whole && g.tokens().size() != g.wanted()) {
            return "%s: %d tokens of %d".formatted(g.marker(), g.tokens().size(), g.wanted());
        }
        return null;
    }

    private String mixFault(GenerationEvidence g, Set<String> salts) {
        int at = FakeTokens.firstBreak(model, g.prompt(), g.seed(), g.tokens(), salts);
        return at < 0 ? null : "%s: wrong token at %d".formatted(g.marker(), at);
    }

    private static Verdict ownAnswers(Evidence evidence) {
        List<String> faults = new ArrayList<>();
        for (GenerationEvidence g : evidence.generations()) {
            faults.add(
                    g.end() == GenerationEvidence.End.CUT
                            ? g.marker() + " got no end: " + g.detail()
                            : null);
        }
        for (OrderEvidence o : evidence.orders()) {
            boolean foreign = o.echoedKey() != null && !o.echoedKey().equals(o.key());
            faults.add(foreign ? o.key() + " got the answer to " + o.echoedKey() : null);
        }
        return over(Promise.OWN_ANSWER, faults, fault -> fault);
    }

    private static Verdict notRun(Evidence evidence) {
        List<String> faults = new ArrayList<>();
        for (GenerationEvidence g : evidence.generations()) {
            if (ResultCodes.isNotRun(g.code())) {
                boolean ran = evidence.startedPrompts().contains(g.marker());
                faults.add(ran ? g.marker() + " ran" : null);
            }
        }
        for (OrderEvidence o : evidence.orders()) {
            if (ResultCodes.isNotRun(o.code())) {
                boolean ran = evidence.executions().containsKey(o.key());
                faults.add(ran ? o.key() + " ran" : null);
            }
        }
        return over(Promise.NOT_RUN, faults, fault -> fault);
    }

    private static Verdict configuration(Evidence evidence) {
        List<String> faults = new ArrayList<>();
        Map<String, Long> last = new HashMap<>();
        for (RulesObservation o : evidence.observations()) {
            if (!o.ready()) {
                continue;
            }
            long before = last.getOrDefault(o.router(), 0L);
            last.put(o.router(), o.number());
            if (o.number() < before) {
                faults.add("%s went from %d to %d".formatted(o.router(), before, o.number()));
            } else if (o.number() < o.required()) {
                faults.add(
                        "%s took work under %d, %d was accepted"
                                .formatted(o.router(), o.number(), o.required()));
            } else {
                faults.add(null);
            }
        }
        long distinct = evidence.accepted().stream().distinct().count();
        faults.add(
                distinct < evidence.accepted().size()
                        ? "one number was accepted for two edits"
                        : null);
        long newest = evidence.accepted().stream().mapToLong(Long::longValue).max().orElse(0);
        faults.add(
                evidence.finalNumber() < newest
                        ? "rules ended at %d, %d was accepted"
                                .formatted(evidence.finalNumber(), newest)
                        : null);
        return over(Promise.CONFIGURATION, faults, fault -> fault);
    }

    private static <T> Verdict over(
            Promise promise, List<T> cases, Function<? super T, String> fault) {
        int breaches = 0;
        String first = "";
        for (T c : cases) {
            String found = c == null ? null : fault.apply(c);
            if (found != null) {
                first = breaches == 0 ? found : first;
                breaches++;
            }
        }
        return new Verdict(promise, cases.size(), breaches, first);
    }
}
