package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;

/** Removes a router for good. */
final class HostsRemoveCommand extends Command {
    private String id;

    /** Sets the host id. */
    HostsRemoveCommand setId(String value) {
        id = value;
        return this;
    }

    @Override
    void call() throws CommandException {
        JsonNode changed = api().delete("/admin/hosts/" + id);
        output().show(changed, () -> output().line(HostsAddCommand.text(changed)));
    }
}
