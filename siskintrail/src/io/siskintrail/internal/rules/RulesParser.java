package io.siskintrail.internal.rules;

import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ResultCode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks a rules file as a whole and reports every error with its line and column. Blank lines and
 * lines that hold a comment alone are skipped.
 */
public final class RulesParser {
    /** Longest accepted file in characters. */
    public static final int MAX_CHARACTERS = 1_000_000;

    /** Most accepted rules in a file. */
    public static final int MAX_RULES = 10_000;

    private static final int MAX_ERRORS = 1_000;
    private static final double FULL_SHARE = 1.0 + 1e-9;

    private final List<RuleError> errors = new ArrayList<>();
    private final List<Rule> rules = new ArrayList<>();
    private final Map<String, Rule> bySubject = new HashMap<>();

    private RulesParser() {}

    /** Checks {@code text} and returns its rules or every error in it. */
    public static RulesCheck parse(String text) {
        return new RulesParser().check(text);
    }

    private RulesCheck check(String text) {
        if (text.length() > MAX_CHARACTERS) {
            errors.add(
                    new RuleError(
                            1,
                            1,
                            ResultCode.RULES_TOO_LARGE,
                            "the file has %d characters, at most %d are allowed"
                                    .formatted(text.length(), MAX_CHARACTERS)));
            return new RulesCheck.Refused(List.copyOf(errors));
        }
        int number = 0;
        for (String line : text.split("\r?\n", -1)) {
            number++;
            readLine(number, line);
        }
        checkFloors();
        if (errors.isEmpty()) {
            return new RulesCheck.Accepted(new Rules(rules));
        }
        Collections.sort(errors);
        return new RulesCheck.Refused(
                List.copyOf(errors.subList(0, Math.min(errors.size(), MAX_ERRORS))));
    }

    private void readLine(int number, String text) {
        if (hasControlCharacter(number, text)) {
            return;
        }
        RuleLine line = RuleLine.scan(number, text);
        if (line.isBlank()) {
            return;
        }
        checkComment(line);
        RuleFields fields = new RuleFields(line, errors);
        RuleReaders.Reader reader = RuleReaders.BY_KIND.get(fields.kind().text());
        if (reader == null) {
            fields.report(
                    fields.kind(),
                    ResultCode.RULE_UNKNOWN_KIND,
                    "%s is not one of %s"
                            .formatted(fields.kind().text(), RuleReaders.BY_KIND.keySet()));
            return;
        }
        Optional<Rule> rule = reader.read(fields);
        if (fields.finish() && rule.isPresent()) {
            add(rule.get(), fields);
        }
    }

    private boolean hasControlCharacter(int number, String text) {
        int[] chars = text.codePoints().toArray();
        for (int i = 0; i < chars.length; i++) {
            if (Character.isISOControl(chars[i]) && chars[i] != '\t') {
                String detail = "the line has the control character U+%04X".formatted(chars[i]);
                errors.add(new RuleError(number, i + 1, ResultCode.RULE_UNEXPECTED_WORD, detail));
                return true;
            }
        }
        return false;
    }

    private void checkComment(RuleLine line) {
        if (line.comment() == null) {
            errors.add(
                    new RuleError(
                            line.number(),
                            line.endColumn(),
                            ResultCode.RULE_WITHOUT_COMMENT,
                            "the rule does not say who asked for it; add # WHO: WHY"));
        } else if (line.source().asker().isEmpty()) {
            errors.add(
                    new RuleError(
                            line.number(),
                            line.comment().column(),
                            ResultCode.RULE_WITHOUT_COMMENT,
                            "the comment does not say who asked for the rule; write # WHO: WHY"));
        }
    }

    private void add(Rule rule, RuleFields fields) {
        Rule earlier = bySubject.putIfAbsent(rule.subject(), rule);
        if (earlier != null) {
            fields.report(
                    fields.kind(),
                    ResultCode.RULE_DUPLICATE,
                    "%s is set by line %d already"
                            .formatted(rule.subject(), earlier.source().line()));
            return;
        }
        if (rules.size() == MAX_RULES) {
            fields.report(
                    fields.kind(),
                    ResultCode.RULES_TOO_LARGE,
                    "the file has more than %d rules".formatted(MAX_RULES));
        }
        rules.add(rule);
    }

    private void checkFloors() {
        Map<Rank, Double> floors = new EnumMap<>(Rules.DEFAULT_FLOORS);
        Rule.FloorRule last = null;
        for (Rule rule : rules) {
            if (rule instanceof Rule.FloorRule floor) {
                floors.put(floor.rank(), floor.share());
                last = floor;
            }
        }
        double sum = floors.values().stream().mapToDouble(Double::doubleValue).sum();
        if (last != null && sum > FULL_SHARE) {
            errors.add(
                    new RuleError(
                            last.source().line(),
                            1,
                            ResultCode.RULE_CONFLICT,
                            "the floors of all ranks are %.0f%% together, at most 100%% fit"
                                    .formatted(sum * 100)));
        }
    }
}
