/** Runs the dispatcher of this router on the control thread and measures what it decides. */
package io.siskintrail.router.internal.policy;
