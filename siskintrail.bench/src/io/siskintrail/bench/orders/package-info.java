/** The fault matrix of orders: every fault at every step, over sockets and files. */
package io.siskintrail.bench.orders;
