package io.siskintrail.bench;

/** One experiment that measures and prints its figures as key=value on its last line. */
@FunctionalInterface
public interface Experiment {

    /**
     * Runs the experiment.
     *
     * @param args the arguments after its name
     * @return the exit status: 0 when it ran to the end
     * @throws Exception when the experiment itself fails
     */
    int run(String[] args) throws Exception;
}
