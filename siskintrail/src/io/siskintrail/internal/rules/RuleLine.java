package io.siskintrail.internal.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A line of a rules file, split into words and a comment.
 *
 * @param number the line number, from 1
 * @param words the words before the comment
 * @param comment the comment without its {@code #}; null when the line has none
 * @param endColumn the column after the last word
 */
record RuleLine(int number, List<Token> words, Token comment, int endColumn) {
    private static final char COMMENT_MARK = '#';

    /** Splits a line; a comment begins with a {@code #} at the start of a word. */
    static RuleLine tokenize(int number, String line) {
        int[] codePoints = line.codePoints().toArray();
        List<Token> words = new ArrayList<>();
        int index = 0;
        while (index < codePoints.length) {
            if (Character.isWhitespace(codePoints[index])) {
                index++;
                continue;
            }
            if (codePoints[index] == COMMENT_MARK) {
                String text = new String(codePoints, index + 1, codePoints.length - index - 1);
                return new RuleLine(number, words, new Token(text.strip(), index + 1), index + 1);
            }
            int start = index;
            while (index < codePoints.length && !Character.isWhitespace(codePoints[index])) {
                index++;
            }
            words.add(new Token(new String(codePoints, start, index - start), start + 1));
        }
        return new RuleLine(number, words, null, codePoints.length + 1);
    }

    boolean isBlank() {
        return words.isEmpty();
    }

    /** Returns the rule text with its requester and reason, each empty if the comment lacks it. */
    SourceLine source() {
        String ruleText = words.stream().map(Token::text).collect(Collectors.joining(" "));
        String commentText = comment == null ? "" : comment.text();
        int colon = commentText.indexOf(':');
        String requestedBy = colon < 0 ? commentText : commentText.substring(0, colon);
        String reason = colon < 0 ? "" : commentText.substring(colon + 1);
        return new SourceLine(number, ruleText, requestedBy.strip(), reason.strip());
    }
}
