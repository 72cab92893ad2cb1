package io.siskintrail.internal.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A line cut into words and a comment.
 *
 * @param number the line, from 1
 * @param words the words before the comment
 * @param comment the comment without its mark; null when there is none
 * @param endColumn the column after the last word
 */
record RuleLine(int number, List<Token> words, Token comment, int endColumn) {
    private static final char COMMENT_MARK = '#';

    /** Cuts a line; a comment begins at a mark that starts a word. */
    static RuleLine scan(int number, String line) {
        int[] chars = line.codePoints().toArray();
        List<Token> words = new ArrayList<>();
        int i = 0;
        while (i < chars.length) {
            if (Character.isWhitespace(chars[i])) {
                i++;
                continue;
            }
            if (chars[i] == COMMENT_MARK) {
                String text = new String(chars, i + 1, chars.length - i - 1);
                return new RuleLine(number, words, new Token(text.strip(), i + 1), i + 1);
            }
            int start = i;
            while (i < chars.length && !Character.isWhitespace(chars[i])) {
                i++;
            }
            words.add(new Token(new String(chars, start, i - start), start + 1));
        }
        return new RuleLine(number, words, null, chars.length + 1);
    }

    boolean isBlank() {
        return words.isEmpty();
    }

    /** Returns who asked and why; the asker is empty when the comment does not say. */
    SourceLine source() {
        String text = words.stream().map(Token::text).collect(Collectors.joining(" "));
        String note = comment == null ? "" : comment.text();
        int colon = note.indexOf(':');
        String asker = colon < 0 ? note : note.substring(0, colon);
        String reason = colon < 0 ? "" : note.substring(colon + 1);
        return new SourceLine(number, text, asker.strip(), reason.strip());
    }
}
