package io.siskintrail.bench;

import io.siskintrail.bench.path.FaultMatrix;

/** Runs every fault at every step of a streamed answer and prints the table of the outcomes. */
final class PathFaultsBench implements Experiment {
    @Override
    public int run(String[] args) throws Exception {
        return FaultMatrix.run(args);
    }
}
