/** What a router spends on control: processor time, bytes and heap. */
package io.siskintrail.bench.cost;
