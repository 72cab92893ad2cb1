package io.siskintrail.pgm;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;

/** The operators' command line. */
public final class Main {

    private Main() {}

    /** Runs {@code siskintrail COMMAND ARGS}. */
    public static void main(String[] args) {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
        System.exit(new Launcher(System.getenv(), out, err).run(args));
    }
}
