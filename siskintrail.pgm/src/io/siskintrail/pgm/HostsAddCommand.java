package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;

/** Adds a router or changes its address. */
final class HostsAddCommand extends Command {
    private String id;
    private String domain;
    private String address;

    /** Sets the host id. */
    HostsAddCommand setId(String value) {
        id = value;
        return this;
    }

    /** Sets the failure domain. */
    HostsAddCommand setDomain(String value) {
        domain = value;
        return this;
    }

    /** Sets {@code ip:port} where the router takes messages of peers. */
    HostsAddCommand setAddress(String value) {
        address = value;
        return this;
    }

    @Override
    void call() throws CommandException {
        JsonNode body =
                Json.object().put("id", id).put("domain", domain).put("peerAddress", address);
        JsonNode changed = api().post("/admin/hosts", body);
        output().show(changed, () -> output().line(text(changed)));
    }

    static String text(JsonNode changed) {
        return Messages.text("hosts.changed", changed.path("version").asLong());
    }
}
