package io.siskintrail.bench;

import io.siskintrail.bench.path.PathMeasure;

/** Measures what one router adds to the streams that pass it. */
final class PathBench implements Experiment {
    @Override
    public int run(String[] args) throws Exception {
        return PathMeasure.run(args);
    }
}
