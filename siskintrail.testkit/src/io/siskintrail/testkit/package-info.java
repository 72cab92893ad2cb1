/** Holds helpers that tests and experiments share; no program depends on it. */
package io.siskintrail.testkit;
