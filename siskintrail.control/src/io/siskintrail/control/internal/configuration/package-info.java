/** Serves the configuration from a control replica: confirms hosts and takes edits. */
package io.siskintrail.control.internal.configuration;
