package io.siskintrail.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A program of the platform in a process of its own, to which signals are sent. Thread-safe. */
final class SoakHost implements AutoCloseable {
    private static final long END_SECONDS = 20;

    /** What the runtime returns when SIGHUP ends it. */
    private static final int HANGUP_EXIT = 129;

    private final String program;
    private final Path settings;
    private final Path log;
    private Process process;
    private long earlierBytes;
    private boolean wanted;

    /** What became of a process. */
    enum Fate {
        /** It runs, or was ended by the soak. */
        AS_WANTED,
        /** SIGHUP ended the runtime before the program could take the signal. */
        HUNG_UP_BEFORE_ITS_START,
        /** It ended by itself. */
        ENDED
    }

    /**
     * Prepares a process.
     *
     * @param program {@code edge} or {@code registry}
     * @param settings its settings file
     */
    SoakHost(String program, Path settings) {
        this.program = program;
        this.settings = settings;
        this.log = Path.of(settings + ".log");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    synchronized void start() throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command =
                new ArrayList<>(
                        List.of(java, "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(Programs.class.getName(), program, "--settings", "" + settings));
        earlierBytes = Files.exists(log) ? Files.size(log) : 0;
        wanted = true;
        process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
    }

    /** Sends a signal to the process, such as {@code STOP}; nothing when it has ended. */
    synchronized void signal(String name) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        }
    }

    /** Ends the process at once and waits until it is gone. */
    synchronized void kill() throws InterruptedException {
        wanted = false;
        process.destroyForcibly();
        process.waitFor();
    }

    /** Asks the process to end; returns whether it did by itself. */
    synchronized boolean end() throws InterruptedException {
        wanted = false;
        process.destroy();
        return process.waitFor(END_SECONDS, TimeUnit.SECONDS);
    }

    /** Starts the process again if it ended though it should run; returns what became of it. */
    synchronized Fate restartIfEnded() throws IOException {
        Fate fate = fate();
        if (fate != Fate.AS_WANTED) {
            start();
        }
        return fate;
    }

    private Fate fate() throws IOException {
        if (!wanted || process.isAlive()) {
            return Fate.AS_WANTED;
        }
        boolean began = log().contains("event=%s.started".formatted(program));
        return !began && process.exitValue() == HANGUP_EXIT
                ? Fate.HUNG_UP_BEFORE_ITS_START
                : Fate.ENDED;
    }

    /** Returns what the process wrote in all its lives. */
    synchronized String history() throws IOException {
        return Files.readString(log);
    }

    /** Returns what the process wrote since its last start. */
    synchronized String log() throws IOException {
        byte[] all = Files.readAllBytes(log);
        int from = (int) earlierBytes;
        return new String(all, from, all.length - from, StandardCharsets.UTF_8);
    }

    @Override
    public synchronized void close() {
        wanted = false;
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
