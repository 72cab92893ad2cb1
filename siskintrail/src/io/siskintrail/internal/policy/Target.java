package io.siskintrail.internal.policy;

import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.List;

/**
 * Model (with adapter and version) or plain service that a request requires from its endpoint.
 *
 * @param value {@code model:ID} or {@code service:NAME}
 */
public record Target(String value) implements Comparable<Target> {

    /** Returns the target of a generation with {@code model}. */
    public static Target of(ModelId model) {
        return new Target("model:" + model);
    }

    /** Returns the target of a call to {@code service}. */
    public static Target of(ServiceName service) {
        return new Target("service:" + service);
    }

    /** Returns every target that {@code endpoint} can run. */
    public static List<Target> of(EndpointInfo endpoint) {
        List<Target> targets = new ArrayList<>();
        endpoint.models().forEach(m -> targets.add(of(m)));
        endpoint.services().forEach(s -> targets.add(of(s)));
        return targets;
    }

    @Override
    public int compareTo(Target other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
