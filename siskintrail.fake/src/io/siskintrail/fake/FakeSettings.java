package io.siskintrail.fake;

import static io.siskintrail.service.SettingsException.require;

import java.util.List;

/**
 * Settings of the binary that runs fake endpoints.
 *
 * @param adminAddress {@code ip:port} where faults are ordered and counters are read
 * @param engines the engines
 * @param services the plain services
 */
public record FakeSettings(
        String adminAddress, List<FakeEngineSettings> engines, List<FakeServiceSettings> services) {

    /** Checks the settings as a whole. */
    public FakeSettings {
        require(adminAddress != null, "adminAddress", "an IP number and a port");
        engines = engines == null ? List.of() : List.copyOf(engines);
        services = services == null ? List.of() : List.copyOf(services);
    }
}
