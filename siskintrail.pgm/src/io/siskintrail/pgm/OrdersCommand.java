package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Shows orders that are not done, or those in one state. */
final class OrdersCommand extends Command {
    private String state = "";
    private int limit;

    /** Sets the state; empty for all that are not done. */
    OrdersCommand setState(String value) {
        state = value;
        return this;
    }

    /** Sets how many orders to show at most. */
    OrdersCommand setLimit(int value) {
        limit = value;
        return this;
    }

    @Override
    void call() throws CommandException {
        String filter = URLEncoder.encode(state, StandardCharsets.UTF_8);
        JsonNode orders = api().get("/admin/orders?state=" + filter + "&limit=" + limit);
        output().show(orders, () -> print(orders));
    }

    private void print(JsonNode orders) {
        Table table = new Table("SERVICE", "ACCOUNT", "KEY", "STATE", "ENDPOINT", "HOST", "UNTIL");
        for (JsonNode order : orders) {
            table.row(
                    order.path("service").asText(),
                    order.path("account").asText(),
                    order.path("key").asText(),
                    order.path("state").asText(),
                    order.path("endpoint").asText("-"),
                    order.path("host").asText(),
                    Output.time(order.path("untilMillis").asLong()));
        }
        table.print(output());
    }
}
