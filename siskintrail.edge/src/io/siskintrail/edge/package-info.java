/** Edge service: accepts client requests and forwards them to endpoints. */
package io.siskintrail.edge;
