/**
 * Public types of the project: identifiers, ranks, numbered result codes and the contract of the
 * pure state machines.
 */
package io.siskintrail.lib;
