/** The parts of an edge. All state lives on the event loop. */
package io.siskintrail.edge.internal;
