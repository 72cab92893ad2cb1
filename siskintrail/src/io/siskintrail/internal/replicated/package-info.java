/** The contract between the replicated log and the state that it carries. */
package io.siskintrail.internal.replicated;
