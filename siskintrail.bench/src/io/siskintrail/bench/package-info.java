/** Experiments that print their figures as key=value lines. */
package io.siskintrail.bench;
