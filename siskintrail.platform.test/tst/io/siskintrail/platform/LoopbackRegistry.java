package io.siskintrail.platform;

import io.siskintrail.registry.RegistryService;
import io.siskintrail.registry.RegistrySettings;
import java.nio.file.Path;
import java.util.List;

/**
 * Starts a registry on 127.0.0.1 as the only one of its deployment. The registry creates a new
 * replicated log and tolerates no disk loss.
 */
final class LoopbackRegistry {
    /** Interval at which endpoints report to the registry. */
    private static final long ENDPOINT_HEARTBEAT_MILLIS = 1_000;

    private LoopbackRegistry() {}

    /**
     * Starts a registry. The caller must stop the returned service.
     *
     * @param callPort port on which operators and endpoints call the registry
     * @param linkPort port on which other processes of the deployment open links
     * @param metricsPort HTTP port of the metrics
     * @param dataFolder folder of the replicated log
     */
    static RegistryService start(int callPort, int linkPort, int metricsPort, Path dataFolder) {
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
                                dataFolder.toString(),
                                ENDPOINT_HEARTBEAT_MILLIS,
                                0),
                        new PlatformRegistryProtocol());
        registry.start();
        return registry;
    }
}
