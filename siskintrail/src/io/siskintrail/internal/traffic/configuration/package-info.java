/**
 * The configuration of the traffic: routes, services, client accounts and limits, and its checks.
 */
package io.siskintrail.internal.traffic.configuration;
