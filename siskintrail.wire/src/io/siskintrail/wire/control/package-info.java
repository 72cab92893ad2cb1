/** Access of hosts to the replicated log: proposing commands and following committed entries. */
package io.siskintrail.wire.control;
