package io.siskintrail.fake;

import io.siskintrail.service.CommandFrame;

/** The binary that runs fake endpoints. */
public final class Main {

    private Main() {}

    /** Runs {@code siskintrail-fake --settings FILE}. */
    public static void main(String[] args) {
        CommandFrame frame = new CommandFrame("siskintrail-fake", "Runs stand-in endpoints.");
        System.exit(frame.run(args, FakeSettings.class, FakeEndpoints::new));
    }
}
