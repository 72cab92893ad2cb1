/** Runs a deployment in processes under faults and checks what must always hold. */
package io.siskintrail.bench.promises;
