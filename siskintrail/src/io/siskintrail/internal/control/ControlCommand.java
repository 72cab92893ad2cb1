package io.siskintrail.internal.control;

/** Commands of the control log, by the section of {@link ControlState} that takes them. */
public sealed interface ControlCommand {

    /**
     * Goes to the configuration.
     *
     * @param command the command
     */
    record ToConfiguration(ConfigurationCommand command) implements ControlCommand {}
}
