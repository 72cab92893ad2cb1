package io.siskintrail.internal.rules;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Parsers for the values in a rules file: counts, rates, shares, times and names. Every method
 * throws {@link IllegalArgumentException} for a malformed value and {@link
 * ValueOutOfRangeException} for a value outside its range.
 */
final class RuleValues {
    private static final Pattern RATE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)/([smh])");
    private static final Pattern SHARE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)%");
    private static final Pattern TIME = Pattern.compile("([0-9]{1,12})(ms|s|m|h|d)");
    private static final Pattern METHOD = Pattern.compile("[A-Z]{3,10}");
    private static final Pattern PATH = Pattern.compile("/[!-)+-~]*\\*?");
    private static final Pattern HEADER = Pattern.compile("[A-Za-z0-9-]{1,100}");
    private static final Map<String, Integer> SECONDS_PER_UNIT =
            Map.of("s", 1, "m", 60, "h", 3_600);
    private static final Map<String, Long> MILLIS_PER_UNIT =
            new TreeMap<>(
                    Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L));
    private static final double MAX_RATE_PER_SECOND = 1e9;
    private static final double PERCENT = 100;

    private RuleValues() {}

    /** Returns a parser for a whole number from {@code min} to {@code max}. */
    static Function<String, Integer> count(int min, int max) {
        return text -> {
            if (!text.matches("[0-9]{1,18}")) {
                throw malformed(text, "a whole number");
            }
            long value = Long.parseLong(text);
            if (value < min || value > max) {
                throw outOfRange(text, String.valueOf(min), String.valueOf(max));
            }
            return (int) value;
        };
    }

    /** Parses {@code 20/s}, {@code 600/m} or {@code 100/h} into a rate per second. */
    static double rate(String text) {
        Matcher matcher = match(RATE, text, "a rate such as 20/s, 600/m or 100/h");
        double rate = Double.parseDouble(matcher.group(1)) / SECONDS_PER_UNIT.get(matcher.group(2));
        if (rate <= 0 || rate > MAX_RATE_PER_SECOND) {
            throw outOfRange(text, "over 0/s", "1000000000/s");
        }
        return rate;
    }

    /** Parses {@code 15%} into a share from 0 to 1. */
    static double share(String text) {
        Matcher matcher = match(SHARE, text, "a share such as 15%");
        double share = Double.parseDouble(matcher.group(1)) / PERCENT;
        if (share > 1) {
            throw outOfRange(text, "0%", "100%");
        }
        return share;
    }

    /**
     * Returns a parser for a time such as {@code 500ms}, {@code 4s}, {@code 10m}, {@code 24h} or
     * {@code 7d} into milliseconds.
     */
    static Function<String, Long> time(String min, String max) {
        return text -> {
            long value = parseMillis(text);
            if (value < parseMillis(min) || value > parseMillis(max)) {
                throw outOfRange(text, min, max);
            }
            return value;
        };
    }

    private static long parseMillis(String text) {
        Matcher matcher = match(TIME, text, "a time such as 500ms, 4s, 10m, 24h or 7d");
        return Long.parseLong(matcher.group(1)) * MILLIS_PER_UNIT.get(matcher.group(2));
    }

    static String method(String text) {
        return match(METHOD, text, "an HTTP method in upper case").group();
    }

    static String path(String text) {
        return match(PATH, text, "a path that begins with / and has * at its end only").group();
    }

    static String header(String text) {
        return match(HEADER, text, "a header name").group();
    }

    /** Returns the enum constant with the lower-case name {@code text}. */
    static <E extends Enum<E>> E enumConstant(Class<E> type, String text) {
        for (E value : type.getEnumConstants()) {
            if (value.name().toLowerCase(Locale.ROOT).equals(text)) {
                return value;
            }
        }
        List<E> constants = Arrays.asList(type.getEnumConstants());
        throw malformed(
                text,
                constants.stream()
                        .map(constant -> constant.name().toLowerCase(Locale.ROOT))
                        .collect(Collectors.joining(", ")));
    }

    private static Matcher match(Pattern pattern, String text, String expected) {
        Matcher matcher = pattern.matcher(text);
        if (!matcher.matches()) {
            throw malformed(text, expected);
        }
        return matcher;
    }

    private static IllegalArgumentException malformed(String text, String expected) {
        return new IllegalArgumentException("%s is not %s".formatted(text, expected));
    }

    private static ValueOutOfRangeException outOfRange(String text, String min, String max) {
        return new ValueOutOfRangeException(
                "%s is not between %s and %s".formatted(text, min, max));
    }
}
