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
 * Typed access to the fields of one rule; collects every error. A reader requests all fields that
 * its kind of rule has; a field of the line that it did not request is an error. After an error the
 * returned value is empty and the rule must not be used.
 */
final class RuleFields {
    private final RuleLine line;
    private final Token kind;
    private final List<Token> positionalWords = new ArrayList<>();
    private final Map<String, Token> valuesByKey = new LinkedHashMap<>();
    private final TreeSet<String> requestedKeys = new TreeSet<>();
    private final List<RuleError> errors;
    private final int errorsBeforeLine;
    private int requestedWordCount;

    RuleFields(RuleLine line, List<RuleError> errors) {
        this.line = line;
        this.kind = line.words().get(0);
        this.errors = errors;
        this.errorsBeforeLine = errors.size();
        for (Token word : line.words().subList(1, line.words().size())) {
            addWord(word);
        }
    }

    private void addWord(Token word) {
        int separator = word.text().indexOf('=');
        if (separator < 0) {
            positionalWords.add(word);
            return;
        }
        String key = word.text().substring(0, separator);
        Token value =
                new Token(word.text().substring(separator + 1), word.column() + separator + 1);
        if (value.text().isEmpty()) {
            report(word, ResultCode.RULE_BAD_VALUE, "key %s has no value".formatted(key));
        } else if (valuesByKey.putIfAbsent(key, value) != null) {
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
        return valuesByKey.containsKey(key);
    }

    /**
     * Returns the value of a key, or the rule kind when the key is absent, as an error position.
     */
    Token positionOf(String key) {
        return valuesByKey.getOrDefault(key, kind);
    }

    /** Parses the next word without an equals sign; reports an error when there is none. */
    <T> Optional<T> requiredWord(String description, Function<String, T> parser) {
        int index = requestedWordCount++;
        if (index >= positionalWords.size()) {
            report(
                    kind,
                    ResultCode.RULE_MISSING_KEY,
                    "%s needs %s".formatted(kind.text(), description));
            return Optional.empty();
        }
        return parse(positionalWords.get(index), description, parser);
    }

    /** Parses the value of a key; reports an error when the key is absent. */
    <T> Optional<T> required(String key, Function<String, T> parser) {
        if (!has(key)) {
            requestedKeys.add(key);
            report(kind, ResultCode.RULE_MISSING_KEY, "%s needs %s=".formatted(kind.text(), key));
            return Optional.empty();
        }
        return optional(key, parser);
    }

    /** Parses the value of a key that may be absent. */
    <T> Optional<T> optional(String key, Function<String, T> parser) {
        requestedKeys.add(key);
        Token value = valuesByKey.get(key);
        return value == null ? Optional.empty() : parse(value, key, parser);
    }

    Optional<Rank> requiredRank() {
        return requiredWord("a rank, urgent or bulk", RuleFields::parseRank);
    }

    Optional<Rank> optionalRank() {
        return optional("rank", RuleFields::parseRank);
    }

    private static Rank parseRank(String text) {
        return RuleValues.enumConstant(Rank.class, text);
    }

    private <T> Optional<T> parse(Token value, String description, Function<String, T> parser) {
        try {
            return Optional.of(parser.apply(value.text()));
        } catch (ValueOutOfRangeException exception) {
            report(
                    value,
                    ResultCode.RULE_OUT_OF_RANGE,
                    description + ": " + exception.getMessage());
        } catch (IllegalArgumentException exception) {
            report(value, ResultCode.RULE_BAD_VALUE, description + ": " + exception.getMessage());
        }
        return Optional.empty();
    }

    void report(Token position, ResultCode code, String detail) {
        errors.add(new RuleError(line.number(), position.column(), code, detail));
    }

    /** Reports fields that were not requested; returns whether the rule has no errors. */
    boolean reportUnrequested() {
        for (Token unexpected :
                positionalWords.subList(
                        Math.min(requestedWordCount, positionalWords.size()),
                        positionalWords.size())) {
            report(
                    unexpected,
                    ResultCode.RULE_UNEXPECTED_WORD,
                    "word %s is unexpected here, keys of %s are %s"
                            .formatted(unexpected.text(), kind.text(), requestedKeys));
        }
        valuesByKey.forEach(
                (key, value) -> {
                    if (!requestedKeys.contains(key)) {
                        Token position = new Token(key, value.column() - key.length() - 1);
                        String detailFormat = "key %s is unknown, keys of %s are %s";
                        report(
                                position,
                                ResultCode.RULE_UNKNOWN_KEY,
                                detailFormat.formatted(
                                        key, kind.text().toLowerCase(Locale.ROOT), requestedKeys));
                    }
                });
        return errors.size() == errorsBeforeLine;
    }
}
