/** The filter chain that completion requests go through. */
package io.siskintrail.router.internal.filter;
