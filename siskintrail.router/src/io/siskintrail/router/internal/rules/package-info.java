/** The rules in force on a router, and whether the router may take new work under them. */
package io.siskintrail.router.internal.rules;
