package io.siskintrail.platform;

import io.siskintrail.registry.RegistryService;
import io.siskintrail.registry.RegistrySettings;
import java.nio.file.Path;
import java.util.List;

/** Starts a single registry on loopback that creates a new replicated log. */
final class LoopbackRegistry {
    private static final long HEARTBEAT_MILLIS = 1_000;

    private LoopbackRegistry() {}

    /**
     * Starts a registry; the caller stops it.
     *
     * @param callPort port for operators and endpoints
     * @param linkPort port for links of other processes
     * @param metricsPort port that serves the metrics
     * @param folder data folder of the replicated log
     */
    static RegistryService start(int callPort, int linkPort, int metricsPort, Path folder) {
        String callAddress = "127.0.0.1:" + callPort;
        RegistryService registry =
                new RegistryService(
                        new RegistrySettings(
                                "core-1",
                                "a",
                                "127.0.0.1",
                                callAddress,
                                linkPort,
                                metricsPort,
                                List.of(callAddress),
                                true,
                                folder.toString(),
                                HEARTBEAT_MILLIS,
                                0),
                        new PlatformRegistryProtocol());
        registry.start();
        return registry;
    }
}
