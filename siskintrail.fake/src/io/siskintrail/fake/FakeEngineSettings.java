package io.siskintrail.fake;

import io.siskintrail.lib.ModelId;
import java.util.List;

/**
 * Settings of one fake engine.
 *
 * @param id its endpoint id
 * @param domain its failure domain
 * @param listen {@code ip:port}; port 0 takes a free one
 * @param models what it has loaded
 * @param slots how many streams it runs at once; further ones wait in arrival order
 * @param tokenMillis time between two tokens of a stream
 * @param firstTokenMillis time to the first token of a stream without a cached prefix
 * @param checksFencing whether it refuses orders with old fencing numbers
 * @param announceTo {@code ip:port} of routers to announce to; empty to announce nowhere
 * @param announceToken the token that routers expect of endpoints
 * @param divergent whether its tokens differ from those of other engines, as sampling makes them
 */
public record FakeEngineSettings(
        String id,
        String domain,
        String listen,
        List<ModelId> models,
        int slots,
        int tokenMillis,
        int firstTokenMillis,
        boolean checksFencing,
        List<String> announceTo,
        String announceToken,
        boolean divergent) {

    /** Describes an engine that generates what all engines of its model generate. */
    public FakeEngineSettings(
            String id,
            String domain,
            String listen,
            List<ModelId> models,
            int slots,
            int tokenMillis,
            int firstTokenMillis,
            boolean checksFencing,
            List<String> announceTo,
            String announceToken) {
        this(
                id,
                domain,
                listen,
                models,
                slots,
                tokenMillis,
                firstTokenMillis,
                checksFencing,
                announceTo,
                announceToken,
                false);
    }
}
