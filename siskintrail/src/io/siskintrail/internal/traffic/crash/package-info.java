/**
 * Finds the contents and prompt parts that crash endpoints, from the requests that were running
 * when endpoints died, and decides what is refused.
 */
package io.siskintrail.internal.traffic.crash;
