package io.siskintrail.pgm;

import com.fasterxml.jackson.databind.JsonNode;

/** Lets a router take no new work, or take it again. */
final class DrainCommand extends Command {
    private String host;
    private boolean undo;

    /** Sets the host id. */
    DrainCommand setHost(String value) {
        host = value;
        return this;
    }

    /** Sets whether the router takes work again. */
    DrainCommand setUndo(boolean value) {
        undo = value;
        return this;
    }

    @Override
    void call() throws CommandException {
        String path = "/admin/hosts/" + host + "/drain";
        JsonNode changed = undo ? api().delete(path) : api().post(path, Json.object());
        output().show(changed, () -> output().line(HostsAddCommand.text(changed)));
    }
}
