package io.siskintrail.router;

import io.siskintrail.service.CommandFrame;

/** The router binary. */
public final class Main {

    private Main() {}

    /** Runs {@code siskintrail-router --settings FILE}. */
    public static void main(String[] args) {
        CommandFrame frame =
                new CommandFrame(
                        "siskintrail-router", "Takes requests and routes them to endpoints.");
        System.exit(frame.run(args, RouterSettings.class, RouterService::new));
    }
}
