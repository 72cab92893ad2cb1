package io.siskintrail.bench;

import io.siskintrail.bench.path.ResumeMeasure;

/** Measures how streams go on when half of the engines are lost at once. */
final class ResumeBench implements Experiment {
    @Override
    public int run(String[] args) throws Exception {
        return ResumeMeasure.run(args);
    }
}
