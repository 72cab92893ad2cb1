package io.siskintrail.internal.rules;

/**
 * The line of a rule in its file, with who requested the rule.
 *
 * @param line the line number in the file, from 1
 * @param text the rule without its comment, words separated by one space
 * @param requestedBy who requested the rule: the comment up to its first colon
 * @param reason why the rule was requested: the rest of the comment; empty when the comment has no
 *     colon or nothing after it
 */
public record SourceLine(int line, String text, String requestedBy, String reason) {}
