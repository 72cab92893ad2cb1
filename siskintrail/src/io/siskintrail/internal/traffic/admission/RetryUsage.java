package io.siskintrail.internal.traffic.admission;

import io.siskintrail.lib.ServiceName;

/**
 * What one host sent to a service within the current window of the retry budget.
 *
 * @param service the service
 * @param requests the number of requests, each counted once
 * @param retries the number of further attempts
 */
public record RetryUsage(ServiceName service, int requests, int retries) {}
