/** The shell of a replica: its disk thread, its messages, its clients and its replacement. */
package io.siskintrail.control.internal.replica;
