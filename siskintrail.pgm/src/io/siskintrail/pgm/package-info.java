/**
 * The operators' command line.
 *
 * <p>Each command is a class that is set up by chained setters and run by {@code call()}. {@link
 * io.siskintrail.pgm.Launcher} finds the command that the arguments name. Every text that a person
 * reads stands in {@code messages.properties}.
 */
package io.siskintrail.pgm;
