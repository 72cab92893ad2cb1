package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;

/** Shows the routers of the deployment. */
final class HostsCommand extends Command {

    @Override
    void call() throws CommandException {
        JsonNode hosts = api().get("/admin/hosts");
        output().show(hosts, () -> print(hosts));
    }

    private void print(JsonNode hosts) {
        Table table = new Table("HOST", "DOMAIN", "ADDRESS");
        for (JsonNode host : hosts) {
            table.row(
                    host.path("id").asText(),
                    host.path("domain").asText(),
                    host.path("peerAddress").asText());
        }
        table.print(output());
    }
}
