/** An edge: takes the requests of clients and carries them to endpoints. */
package io.siskintrail.edge;
