/** The parts of a registry. All state lives on the event loop. */
package io.siskintrail.registry.internal;
