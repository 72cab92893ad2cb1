package io.siskintrail.registry;

import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.traffic.configuration.TrafficConfiguration;
import io.siskintrail.lib.Result;
import io.siskintrail.net.HttpService;
import java.util.Map;

/**
 * Reads and answers the calls of operators and endpoints in the form of one platform. Thread-safe.
 */
public interface RegistryProtocol {

    /** Returns what {@code call} asks. */
    RegistryCall read(HttpService.Call call);

    /**
     * Returns the configuration in {@code content}, the form in which an operator sent it, or why
     * it cannot be read.
     */
    Result<TrafficConfiguration> readConfiguration(byte[] content);

    /** Returns the names and values of the fields that tell an operator of a rollout. */
    Map<String, String> describeRollout(RolloutRecord rollout);
}
