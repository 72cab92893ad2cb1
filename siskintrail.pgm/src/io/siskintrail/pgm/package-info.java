/** The operators' command line. */
package io.siskintrail.pgm;
