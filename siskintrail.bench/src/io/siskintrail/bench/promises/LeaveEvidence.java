package io.siskintrail.bench.promises;

/**
 * What an endpoint saw after it had begun to leave.
 *
 * @param endpoint the endpoint
 * @param lateStarts streams that began after the bound
 */
record LeaveEvidence(String endpoint, long lateStarts) {}
