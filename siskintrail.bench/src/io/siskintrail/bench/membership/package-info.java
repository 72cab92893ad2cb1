/** The membership in virtual time, beside periodic gossip of each node's own address. */
package io.siskintrail.bench.membership;
