package io.siskintrail.internal.rules;

/**
 * A word of a line.
 *
 * @param text the characters
 * @param column where the word begins, from 1
 */
record Token(String text, int column) {}
