/** Messages among registries, and between them and the edges that follow them. */
package io.siskintrail.wire.registry;
