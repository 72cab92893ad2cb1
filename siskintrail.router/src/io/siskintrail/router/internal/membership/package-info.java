/** Membership of this router: announcements of endpoints over HTTP and gossip with its peers. */
package io.siskintrail.router.internal.membership;
