package io.siskintrail.internal.rules;

/**
 * Where a rule stands and who asked for it.
 *
 * @param line the line in the file, from 1
 * @param text the rule without its comment, words separated by one space
 * @param asker who asked for the rule: the comment up to its first colon
 * @param reason the rest of the comment; empty when there is none
 */
public record SourceLine(int line, String text, String asker, String reason) {}
