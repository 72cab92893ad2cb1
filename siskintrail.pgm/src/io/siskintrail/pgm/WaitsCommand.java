package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Shows who waits and runs on a router, who was refused and why. */
final class WaitsCommand extends Command {
    private static final String NONE = "-";

    @Override
    void call() throws CommandException {
        JsonNode answer = api().get("/admin/accounts");
        output().show(answer, () -> print(answer.path("accounts")));
    }

    private void print(JsonNode accounts) {
        Table table =
                new Table(
                        "ACCOUNT",
                        "WAIT URGENT",
                        "WAIT BULK",
                        "RUN URGENT",
                        "RUN BULK",
                        "OLDEST",
                        "STARTED",
                        "SUSPENDED",
                        "REFUSED");
        for (JsonNode account : accounts) {
            List<String> refused = new ArrayList<>();
            account.path("refused")
                    .fields()
                    .forEachRemaining(f -> refused.add(f.getKey() + ": " + f.getValue()));
            table.row(
                    account.path("account").asText(),
                    account.path("waiting").path("urgent").asInt(),
                    account.path("waiting").path("bulk").asInt(),
                    account.path("running").path("urgent").asInt(),
                    account.path("running").path("bulk").asInt(),
                    account.path("oldest_wait_millis").asLong() + "ms",
                    account.path("started").asLong(),
                    account.path("suspended").asLong(),
                    refused.isEmpty() ? NONE : String.join(", ", refused));
        }
        table.print(output());
    }
}
