package io.siskintrail.internal.ledger;

/**
 * How the rules want the orders of a service treated.
 *
 * @param retentionMillis how long the outcome is kept
 * @param answerMillis how long an endpoint may take to answer
 */
public record OrderTerms(long retentionMillis, long answerMillis) {}
