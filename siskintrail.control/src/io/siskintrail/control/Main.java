package io.siskintrail.control;

import io.siskintrail.service.CommandFrame;
import io.siskintrail.storage.StorageException;

/** The control binary. */
public final class Main {

    private Main() {}

    /** Runs {@code siskintrail-control --settings FILE}. */
    public static void main(String[] args) {
        CommandFrame frame =
                new CommandFrame("siskintrail-control", "Holds the shared state of a deployment.")
                        .endingOnFaults();
        try {
            System.exit(frame.run(args, ControlSettings.class, ControlService::new));
        } catch (StorageException e) {
            System.err.println("siskintrail-control: " + e.failure());
            System.exit(CommandFrame.EXIT_FAILED);
        }
    }
}
