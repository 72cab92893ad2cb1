package io.siskintrail.internal.rules;

import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ResultCode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Gives typed access to the words of one rule and collects every error. A reader asks for all
 * fields of its kind; what it did not ask for is an error of the file. After an error the returned
 * value is empty and the rule must not be used.
 */
final class RuleFields {
    private final RuleLine line;
    private final Token kind;
    private final List<Token> operands = new ArrayList<>();
    private final Map<String, Token> pairs = new LinkedHashMap<>();
    private final TreeSet<String> askedKeys = new TreeSet<>();
    private final List<RuleError> errors;
    private final int errorsBefore;
    private int askedOperands;

    RuleFields(RuleLine line, List<RuleError> errors) {
        this.line = line;
        this.kind = line.words().get(0);
        this.errors = errors;
        this.errorsBefore = errors.size();
        for (Token word : line.words().subList(1, line.words().size())) {
            sort(word);
        }
    }

    private void sort(Token word) {
        int equals = word.text().indexOf('=');
        if (equals < 0) {
            operands.add(word);
            return;
        }
        String key = word.text().substring(0, equals);
        Token value = new Token(word.text().substring(equals + 1), word.column() + equals + 1);
        if (value.text().isEmpty()) {
            report(word, ResultCode.RULE_BAD_VALUE, "key %s has no value".formatted(key));
        } else if (pairs.putIfAbsent(key, value) != null) {
            report(word, ResultCode.RULE_REPEATED_KEY, "key %s is given twice".formatted(key));
        }
    }

    SourceLine source() {
        return line.source();
    }

    Token kind() {
        return kind;
    }

    boolean has(String key) {
        return pairs.containsKey(key);
    }

    /** Returns the place of a key's value, or of the kind when the key is absent. */
    Token at(String key) {
        return pairs.getOrDefault(key, kind);
    }

    /** Reads the next word without an equal sign, which has to be there. */
    <T> Optional<T> operand(String what, Function<String, T> form) {
        int index = askedOperands++;
        if (index >= operands.size()) {
            report(kind, ResultCode.RULE_MISSING_KEY, "%s needs %s".formatted(kind.text(), what));
            return Optional.empty();
        }
        return convert(operands.get(index), what, form);
    }

    /** Reads a key that has to be there. */
    <T> Optional<T> required(String key, Function<String, T> form) {
        if (!has(key)) {
            askedKeys.add(key);
            report(kind, ResultCode.RULE_MISSING_KEY, "%s needs %s=".formatted(kind.text(), key));
            return Optional.empty();
        }
        return optional(key, form);
    }

    /** Reads a key that may be absent. */
    <T> Optional<T> optional(String key, Function<String, T> form) {
        askedKeys.add(key);
        Token value = pairs.get(key);
        return value == null ? Optional.empty() : convert(value, key, form);
    }

    Optional<Rank> rankOperand() {
        return operand("a rank, urgent or bulk", RuleFields::rank);
    }

    Optional<Rank> optionalRank() {
        return optional("rank", RuleFields::rank);
    }

    private static Rank rank(String text) {
        return RuleValues.constant(Rank.class, text);
    }

    private <T> Optional<T> convert(Token value, String what, Function<String, T> form) {
        try {
            return Optional.of(form.apply(value.text()));
        } catch (ValueOutOfRange e) {
            report(value, ResultCode.RULE_OUT_OF_RANGE, what + ": " + e.getMessage());
        } catch (IllegalArgumentException e) {
            report(value, ResultCode.RULE_BAD_VALUE, what + ": " + e.getMessage());
        }
        return Optional.empty();
    }

    void report(Token at, ResultCode code, String detail) {
        errors.add(new RuleError(line.number(), at.column(), code, detail));
    }

    /** Reports what no reader asked for and returns whether the line is free of errors. */
    boolean finish() {
        for (Token extra :
                operands.subList(Math.min(askedOperands, operands.size()), operands.size())) {
            report(
                    extra,
                    ResultCode.RULE_UNEXPECTED_WORD,
                    "word %s is not expected here, keys of %s are %s"
                            .formatted(extra.text(), kind.text(), askedKeys));
        }
        pairs.forEach(
                (key, value) -> {
                    if (!askedKeys.contains(key)) {
                        Token at = new Token(key, value.column() - key.length() - 1);
                        String detail = "key %s is not known, keys of %s are %s";
                        report(
                                at,
                                ResultCode.RULE_UNKNOWN_KEY,
                                detail.formatted(
                                        key, kind.text().toLowerCase(Locale.ROOT), askedKeys));
                    }
                });
        return errors.size() == errorsBefore;
    }
}
