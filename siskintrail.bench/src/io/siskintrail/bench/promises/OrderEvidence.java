package io.siskintrail.bench.promises;

/**
 * What the caller of one order was told last.
 *
 * @param key the idempotency key
 * @param code the last result code, 0 for an answer of the service
 * @param echoedKey the key in the answer of the service, null without one
 */
record OrderEvidence(String key, int code, String echoedKey) {}
