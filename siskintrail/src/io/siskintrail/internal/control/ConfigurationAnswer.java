package io.siskintrail.internal.control;

/** Answers to {@link ConfigurationCommand}. */
public sealed interface ConfigurationAnswer {

    /**
     * The edit is committed. It is accepted once its version is in force.
     *
     * @param number the number of the rules that it made
     * @param version the version of the configuration that it made
     */
    record RulesApplied(long number, long version) implements ConfigurationAnswer {}

    /**
     * Another edit was made from the same number and won.
     *
     * @param winner that edit; null when it is older than the kept history
     * @param currentNumber the number of the rules now
     */
    record NumberTaken(RulesEdit winner, long currentNumber) implements ConfigurationAnswer {}

    /**
     * The edit names a number that no edit has made.
     *
     * @param currentNumber the number of the rules now
     */
    record NumberUnknown(long currentNumber) implements ConfigurationAnswer {}

    /**
     * The hosts are as the command asks.
     *
     * @param version the version of the configuration that has them
     */
    record HostsChanged(long version) implements ConfigurationAnswer {}

    /**
     * An earlier change of the hosts is not in force yet; the command changed nothing.
     *
     * @param version the version that has to be in force first
     */
    record HostsPending(long version) implements ConfigurationAnswer {}

    /**
     * The command could not be applied to the hosts: they are seeded already, or it is the last.
     */
    record HostsRefused() implements ConfigurationAnswer {}

    /**
     * The mark is recorded.
     *
     * @param version the newest version known to be in force
     */
    record Marked(long version) implements ConfigurationAnswer {}
}
