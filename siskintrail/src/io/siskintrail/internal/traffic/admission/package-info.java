/**
 * Decides which requests start, wait or are refused: queues, forecasts, retry budgets, and what a
 * host accepts while it stops.
 */
package io.siskintrail.internal.traffic.admission;
