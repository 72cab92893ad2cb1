/**
 * A registry: keeps the configuration and the directory of endpoints, and feeds edges with both.
 */
package io.siskintrail.registry;
