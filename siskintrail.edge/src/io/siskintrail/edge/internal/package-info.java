/** Components of an edge. Unless a type says otherwise, its state is confined to the event loop. */
package io.siskintrail.edge.internal;
