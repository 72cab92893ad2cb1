/**
 * Public types of the project: identifiers, ranks, numbered result codes and the contract of the
 * pure state machines.
 *
 * <p>Identifiers implement {@code equals} and {@code hashCode} explicitly: the methods that the
 * compiler generates for records are linked on their first call, by classes that a class data
 * sharing (CDS) archive cannot hold, which takes a tenth of the startup time of a program.
 */
package io.siskintrail.lib;
