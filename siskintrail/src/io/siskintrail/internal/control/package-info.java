/**
 * The replicated control state of the deployment, and the protocol by which hosts know that the
 * configuration they apply is current.
 *
 * <p>{@link io.siskintrail.internal.control.ControlState} is what every control replica computes
 * from the log.
 */
package io.siskintrail.internal.control;
