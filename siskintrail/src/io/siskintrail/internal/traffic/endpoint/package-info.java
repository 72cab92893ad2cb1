/**
 * What a host knows of endpoints: their records, their health, the load that all hosts placed on
 * them and the pauses that they asked for.
 */
package io.siskintrail.internal.traffic.endpoint;
