package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Shows the endpoints that a router gives new work to. */
final class EndpointsCommand extends Command {

    @Override
    void call() throws CommandException {
        JsonNode endpoints = api().get("/admin/endpoints");
        output().show(endpoints, () -> print(endpoints));
    }

    private void print(JsonNode endpoints) {
        Table table = new Table("ENDPOINT", "KIND", "DOMAIN", "ADDRESS", "SLOTS", "SERVES");
        for (JsonNode endpoint : endpoints) {
            List<String> serves = new ArrayList<>();
            endpoint.path("serves").forEach(s -> serves.add(s.asText()));
            table.row(
                    endpoint.path("id").asText(),
                    endpoint.path("kind").asText().toLowerCase(java.util.Locale.ROOT),
                    endpoint.path("domain").asText(),
                    endpoint.path("address").asText(),
                    endpoint.path("slots").asInt(),
                    String.join(" ", serves));
        }
        table.print(output());
    }
}
