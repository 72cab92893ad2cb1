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
 * Parses a rules file as a whole and reports every error with its line and column. Blank lines and
 * lines that contain only a comment are skipped.
 */
public final class RulesParser {
    /** Maximum length of a rules file in characters. */
    public static final int MAX_CHARACTERS = 1_000_000;

    /** Maximum number of rules in a file. */
    public static final int MAX_RULES = 10_000;

    private static final int MAX_ERRORS = 1_000;

    /** 100% of the slots, with a tolerance for the rounding error of the sum. */
    private static final double MAX_FLOOR_SUM = 1.0 + 1e-9;

    private final List<RuleError> errors = new ArrayList<>();
    private final List<Rule> rules = new ArrayList<>();
    private final Map<String, Rule> rulesBySubject = new HashMap<>();

    private RulesParser() {}

    /** Parses {@code text} and returns its rules, or the errors in it. */
    public static RulesCheck parse(String text) {
        return new RulesParser().parseFile(text);
    }

    private RulesCheck parseFile(String text) {
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
        int lineNumber = 0;
        for (String line : text.split("\r?\n", -1)) {
            lineNumber++;
            parseLine(lineNumber, line);
        }
        checkFloors();
        if (errors.isEmpty()) {
            return new RulesCheck.Accepted(new Rules(rules));
        }
        Collections.sort(errors);
        return new RulesCheck.Refused(
                List.copyOf(errors.subList(0, Math.min(errors.size(), MAX_ERRORS))));
    }

    private void parseLine(int lineNumber, String text) {
        if (reportControlCharacter(lineNumber, text)) {
            return;
        }
        RuleLine line = RuleLine.tokenize(lineNumber, text);
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
        if (fields.reportUnrequestedFields() && rule.isPresent()) {
            addRule(rule.get(), fields);
        }
    }

    private boolean reportControlCharacter(int lineNumber, String text) {
        int[] codePoints = text.codePoints().toArray();
        for (int index = 0; index < codePoints.length; index++) {
            if (Character.isISOControl(codePoints[index]) && codePoints[index] != '\t') {
                String detail =
                        "the line has the control character U+%04X".formatted(codePoints[index]);
                errors.add(
                        new RuleError(
                                lineNumber, index + 1, ResultCode.RULE_UNEXPECTED_WORD, detail));
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
                            "the rule does not say who requested it; add # WHO: WHY"));
        } else if (line.source().requestedBy().isEmpty()) {
            errors.add(
                    new RuleError(
                            line.number(),
                            line.comment().column(),
                            ResultCode.RULE_WITHOUT_COMMENT,
                            "the comment does not say who requested the rule; write # WHO: WHY"));
        }
    }

    private void addRule(Rule rule, RuleFields fields) {
        Rule earlier = rulesBySubject.putIfAbsent(rule.subject(), rule);
        if (earlier != null) {
            fields.report(
                    fields.kind(),
                    ResultCode.RULE_DUPLICATE,
                    "%s is already set by line %d"
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
        Rule.FloorRule lastFloorRule = null;
        for (Rule rule : rules) {
            if (rule instanceof Rule.FloorRule floorRule) {
                floors.put(floorRule.rank(), floorRule.share());
                lastFloorRule = floorRule;
            }
        }
        double totalShare = floors.values().stream().mapToDouble(Double::doubleValue).sum();
        if (lastFloorRule != null && totalShare > MAX_FLOOR_SUM) {
            errors.add(
                    new RuleError(
                            lastFloorRule.source().line(),
                            1,
                            ResultCode.RULE_CONFLICT,
                            "the floors of all ranks add up to %.0f%%, at most 100%% is allowed"
                                    .formatted(totalShare * 100)));
        }
    }
}
