package io.siskintrail.registry;

import io.siskintrail.net.HttpService;

/** Reads the calls of operators and endpoints in the form of one platform. Thread-safe. */
@FunctionalInterface
public interface RegistryProtocol {

    /** Returns what {@code call} asks. */
    RegistryCall read(HttpService.Call call);
}
