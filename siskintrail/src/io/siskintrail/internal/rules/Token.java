package io.siskintrail.internal.rules;

/**
 * A word of a line in a rules file.
 *
 * @param text the word without surrounding whitespace
 * @param column the column at which the word begins, from 1
 */
record Token(String text, int column) {}
