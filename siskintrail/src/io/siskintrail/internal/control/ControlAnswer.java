package io.siskintrail.internal.control;

/** Answers of {@link ControlState}, by the section that gave them. */
public sealed interface ControlAnswer {

    /**
     * Comes from the configuration.
     *
     * @param answer the answer
     */
    record FromConfiguration(ConfigurationAnswer answer) implements ControlAnswer {}
}
