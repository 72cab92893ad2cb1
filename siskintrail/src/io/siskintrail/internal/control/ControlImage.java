package io.siskintrail.internal.control;

/**
 * The whole {@link ControlState}, by section.
 *
 * @param configuration the configuration
 */
public record ControlImage(ConfigurationImage configuration) {}
