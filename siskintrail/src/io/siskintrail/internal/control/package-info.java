/**
 * The replicated control state of the deployment, and the protocol by which hosts know that the
 * configuration they apply is current.
 *
 * <p>{@link io.siskintrail.internal.control.ControlState} is what every control replica computes
 * from the log. {@link io.siskintrail.internal.control.ConfigurationPublisher} runs beside each
 * control replica and {@link io.siskintrail.internal.control.ConfigurationFollower} on every host.
 * The protocol and its proof are in docs/design/in-force.md.
 */
package io.siskintrail.internal.control;
