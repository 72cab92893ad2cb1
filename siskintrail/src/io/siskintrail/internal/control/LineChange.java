package io.siskintrail.internal.control;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The lines by which two rules files differ. The order of lines does not matter, since the order of
 * rules does not either.
 *
 * @param added lines of the new file that the old one does not have, in their order
 * @param removed lines of the old file that the new one does not have, in their order
 */
public record LineChange(List<String> added, List<String> removed) {

    /** Compares two files. */
    public static LineChange between(String before, String after) {
        List<String> old = lines(before);
        List<String> now = lines(after);
        return new LineChange(missing(now, old), missing(old, now));
    }

    private static List<String> lines(String text) {
        return text.lines().filter(l -> !l.isBlank()).toList();
    }

    private static List<String> missing(List<String> lines, List<String> other) {
        Map<String, Integer> counts = new HashMap<>();
        other.forEach(l -> counts.merge(l, 1, Integer::sum));
        List<String> result = new ArrayList<>();
        for (String line : lines) {
            int left = counts.merge(line, -1, Integer::sum);
            if (left < 0) {
                result.add(line);
            }
        }
        return result;
    }

    /** Returns the digest by which files are known to be equal. */
    public static String digest(String text) {
        HashValue128 hash = Hashing.murmur3_128().hashCharsTo128Bits(text);
        return hash.toString();
    }
}
