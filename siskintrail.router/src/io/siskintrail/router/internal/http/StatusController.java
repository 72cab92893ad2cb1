package io.siskintrail.router.internal.http;

import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.router.RouterSettings;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;
import io.siskintrail.router.internal.rules.Readiness;
import io.siskintrail.router.internal.rules.RulesView;
import java.util.List;

/** Tells operators what this router has in force and which endpoints it gives new work to. */
@Controller("/admin")
final class StatusController {
    private final RouterSettings settings;
    private final RulesView rules;
    private final Readiness readiness;
    private final EndpointDirectory directory;

    StatusController(
            RouterSettings settings,
            RulesView rules,
            EndpointDirectory directory,
            Readiness readiness) {
        this.readiness = readiness;
        this.settings = settings;
        this.rules = rules;
        this.directory = directory;
    }

    /**
     * This router.
     *
     * @param host its host id
     * @param domain its failure domain
     * @param ready whether it takes new work
     * @param rulesNumber the number of the rules in force here
     * @param endpoints how many endpoints may take new work
     */
    record Status(String host, String domain, boolean ready, long rulesNumber, int endpoints) {}

    /**
     * An endpoint that may take new work.
     *
     * @param id its endpoint id
     * @param kind engine or plain service
     * @param domain its failure domain
     * @param address {@code ip:port}
     * @param slots how many requests it runs at once
     * @param serves models or service names
     * @param incarnation grows with each restart
     */
    record Endpoint(
            String id,
            String kind,
            String domain,
            String address,
            int slots,
            List<String> serves,
            long incarnation) {

        static Endpoint of(EndpointInfo e) {
            List<String> serves =
                    e.models().isEmpty()
                            ? e.services().stream().map(Object::toString).toList()
                            : e.models().stream().map(Object::toString).toList();
            return new Endpoint(
                    e.id().value(),
                    e.kind().name(),
                    e.domain().value(),
                    e.address(),
                    e.slots(),
                    serves,
                    e.incarnation());
        }
    }

    @Get("/status")
    Status status() {
        return new Status(
                settings.host(),
                settings.domain(),
                readiness.refusal().isEmpty(),
                rules.number(),
                directory.live().size());
    }

    @Get("/endpoints")
    List<Endpoint> endpoints() {
        return directory.live().stream().map(Endpoint::of).toList();
    }
}
