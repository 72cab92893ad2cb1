package io.siskintrail.control.internal.http;

import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.siskintrail.control.internal.configuration.ConfigurationService;
import io.siskintrail.internal.control.Configuration;
import io.siskintrail.internal.control.ConfigurationImage;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import java.util.List;
import java.util.Map;

/** Tells what this replica knows of the deployment. */
@Controller("/admin/status")
final class StatusController {
    private final ConfigurationService service;

    StatusController(ConfigurationService service) {
        this.service = service;
    }

    /**
     * The deployment as this replica sees it.
     *
     * @param leads whether this replica leads; only the leader knows what hosts have
     * @param rulesNumber the number of the rules
     * @param version the version of rules and hosts together
     * @param inForceVersion the newest version that a majority of all hosts is known to have
     * @param hosts the routers
     */
    record Status(
            boolean leads, long rulesNumber, long version, long inForceVersion, List<Host> hosts) {}

    /**
     * A router.
     *
     * @param id its host id
     * @param domain its failure domain
     * @param peerAddress where it takes messages of peers
     * @param draining whether it takes no new work
     * @param version the version it has, null when this replica does not know
     */
    record Host(String id, String domain, String peerAddress, boolean draining, Long version) {
        static Host of(HostInfo host, boolean draining, Map<HostId, Long> versions) {
            return new Host(
                    host.id().value(),
                    host.domain().value(),
                    host.peerAddress(),
                    draining,
                    versions.get(host.id()));
        }
    }

    @Get
    Status status() {
        ConfigurationImage image = service.image();
        Configuration c = image.current();
        Map<HostId, Long> versions = service.acknowledged();
        return new Status(
                service.leads(),
                c.rulesNumber(),
                c.version(),
                image.inForceVersion(),
                c.hosts().stream()
                        .map(h -> Host.of(h, c.draining().contains(h.id()), versions))
                        .toList());
    }
}
