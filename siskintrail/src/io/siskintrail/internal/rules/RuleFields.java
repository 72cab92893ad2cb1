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
 * Typed access to the fields of one rule, which are words and {@code key=value} pairs; collects
 * every error. A reader requests all fields that its kind of rule has; {@link
 * #reportUnrequestedFields} reports fields of the line that the reader did not request. The parse
 * methods return empty after an error, and the rule must then not be used.
 */
final class RuleFields {
    private final RuleLine line;
    private final Token kind;
    private final List<Token> positionalWords = new ArrayList<>();
    private final Map<String, Token> valuesByKey = new LinkedHashMap<>();
    private final TreeSet<String> requestedKeys = new TreeSet<>();
    private final List<RuleError> errors;
    private final int initialErrorCount;
    private int requestedWordCount;

    RuleFields(RuleLine line, List<RuleError> errors) {
        this.line = line;
        this.kind = line.words().get(0);
        this.errors = errors;
        this.initialErrorCount = errors.size();
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
            report(
                    word,
                    ResultCode.RULE_REPEATED_KEY,
                    "key %s is given more than once".formatted(key));
        }
    }

    SourceLine source() {
        return line.source();
    }

    /** Returns the first word of the line, which names the kind of the rule. */
    Token kind() {
        return kind;
    }

    /** Returns whether the line sets the key to a nonempty value. */
    boolean has(String key) {
        return valuesByKey.containsKey(key);
    }

    /**
     * Returns the token at which an error about {@code key} is reported: the value of the key, or
     * the kind of the rule when the key is absent.
     */
    Token errorPosition(String key) {
        return valuesByKey.getOrDefault(key, kind);
    }

    /**
     * Parses the next word that has no equals sign. Reports an error and returns empty when the
     * line has no further such word or the word is malformed.
     *
     * @param description a noun phrase for the error message, such as {@code a weight}
     */
    <T> Optional<T> parseRequiredWord(String description, Function<String, T> parser) {
        int index = requestedWordCount++;
        if (index >= positionalWords.size()) {
            report(
                    kind,
                    ResultCode.RULE_MISSING_KEY,
                    "%s requires %s".formatted(kind.text(), description));
            return Optional.empty();
        }
        return parseToken(positionalWords.get(index), description, parser);
    }

    /**
     * Parses the value of a key; reports an error and returns empty if it is absent or malformed.
     */
    <T> Optional<T> parseRequired(String key, Function<String, T> parser) {
        if (!has(key)) {
            requestedKeys.add(key);
            report(
                    kind,
                    ResultCode.RULE_MISSING_KEY,
                    "%s requires %s=".formatted(kind.text(), key));
            return Optional.empty();
        }
        return parseOptional(key, parser);
    }

    /**
     * Parses the value of a key. Returns empty when the key is absent; reports an error and returns
     * empty when the value is malformed.
     */
    <T> Optional<T> parseOptional(String key, Function<String, T> parser) {
        requestedKeys.add(key);
        Token value = valuesByKey.get(key);
        return value == null ? Optional.empty() : parseToken(value, key, parser);
    }

    Optional<Rank> parseRequiredRankWord() {
        return parseRequiredWord("a rank, urgent or bulk", RuleFields::parseRank);
    }

    Optional<Rank> parseOptionalRankKey() {
        return parseOptional("rank", RuleFields::parseRank);
    }

    private static Rank parseRank(String text) {
        return RuleValues.enumConstant(Rank.class, text);
    }

    private <T> Optional<T> parseToken(
            Token value, String description, Function<String, T> parser) {
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

    /**
     * Reports fields that were not requested; returns whether no field of the rule has an error.
     * Errors in the comment of the line do not count.
     */
    boolean reportUnrequestedFields() {
        for (Token unexpected :
                positionalWords.subList(
                        Math.min(requestedWordCount, positionalWords.size()),
                        positionalWords.size())) {
            report(
                    unexpected,
                    ResultCode.RULE_UNEXPECTED_WORD,
                    "unexpected word %s; the keys of %s are %s"
                            .formatted(unexpected.text(), kind.text(), requestedKeys));
        }
        valuesByKey.forEach(
                (key, value) -> {
                    if (!requestedKeys.contains(key)) {
                        Token position = new Token(key, value.column() - key.length() - 1);
                        String detailFormat = "unknown key %s; the keys of %s are %s";
                        report(
                                position,
                                ResultCode.RULE_UNKNOWN_KEY,
                                detailFormat.formatted(
                                        key, kind.text().toLowerCase(Locale.ROOT), requestedKeys));
                    }
                });
        return errors.size() == initialErrorCount;
    }
}
