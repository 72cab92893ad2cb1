/** Generations that outlive the engines they run on. */
package io.siskintrail.router.internal.stream;
