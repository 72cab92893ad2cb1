package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;

/** Shows what the rules give to each client account that they name. */
final class AccountsCommand extends Command {
    private static final String NONE = "-";

    @Override
    void call() throws CommandException {
        JsonNode accounts = api().get("/admin/accounts");
        output().show(accounts, () -> print(accounts));
    }

    private void print(JsonNode accounts) {
        Table table =
                new Table(
                        "ACCOUNT",
                        "WEIGHT",
                        "REQUESTS/S",
                        "TOKENS/S",
                        "IN FLIGHT",
                        "QUEUE URGENT",
                        "QUEUE BULK",
                        "RETRY");
        for (JsonNode account : accounts) {
            table.row(
                    account.path("account").asText(),
                    account.path("weight").asInt(),
                    account.path("requestsPerSecond").asText(NONE),
                    account.path("tokensPerSecond").asText(NONE),
                    account.path("inFlight").asText(NONE),
                    account.path("urgentQueueMillis").asLong() + "ms",
                    account.path("bulkQueueMillis").asLong() + "ms",
                    Math.round(account.path("retryShare").asDouble() * 100) + "%");
        }
        table.print(output());
    }
}
