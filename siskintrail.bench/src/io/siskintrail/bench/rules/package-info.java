/** Edits of the rules over real sockets and real disks, with restarts and an isolated host. */
package io.siskintrail.bench.rules;
