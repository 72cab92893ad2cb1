/** Thrift messages between the processes of a deployment and the transport that carries them. */
package io.siskintrail.wire;
