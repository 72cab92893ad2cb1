package io.siskintrail.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs one of the platform's programs as a separate process and signals it. Thread-safe. */
final class SoakProcess implements AutoCloseable {
    private static final long TERMINATION_TIMEOUT_SECONDS = 20;

    /** Exit status of a Java runtime that SIGHUP terminated. */
    private static final int HANGUP_EXIT_STATUS = 129;

    private final String program;
    private final Path settings;
    private final Path logFile;
    private Process process;
    private long logOffsetBytes;
    private boolean shouldRun;

    /** State of a process relative to what the soak run requested. */
    enum State {
        /** It is running, or the soak run ended it. */
        AS_EXPECTED,
        /** SIGHUP terminated the runtime before the program installed its signal handler. */
        HUNG_UP_BEFORE_START,
        /** It exited unexpectedly. */
        EXITED
    }

    /**
     * Prepares a process, which {@link #start} starts.
     *
     * @param program {@code edge} or {@code registry}
     * @param settings settings file; the log file has its name with {@code .log} appended
     */
    SoakProcess(String program, Path settings) {
        this.program = program;
        this.settings = settings;
        this.logFile = Path.of(settings + ".log");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    synchronized void start() throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command =
                new ArrayList<>(
                        List.of(java, "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(Programs.class.getName(), program, "--settings", "" + settings));
        logOffsetBytes = Files.exists(logFile) ? Files.size(logFile) : 0;
        shouldRun = true;
        process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                        .start();
    }

    /** Sends a signal such as {@code STOP} to the process, unless it has ended. */
    synchronized void signal(String name) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        }
    }

    /** Kills the process and waits until it has ended. */
    synchronized void kill() throws InterruptedException {
        shouldRun = false;
        process.destroyForcibly();
        process.waitFor();
    }

    /** Asks the process to terminate; returns whether it did within the timeout. */
    synchronized boolean terminate() throws InterruptedException {
        shouldRun = false;
        process.destroy();
        return process.waitFor(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Restarts the process if it ended unexpectedly; returns the state before the restart. */
    synchronized State restartIfEnded() throws IOException {
        State state = state();
        if (state != State.AS_EXPECTED) {
            start();
        }
        return state;
    }

    private State state() throws IOException {
        if (!shouldRun || process.isAlive()) {
            return State.AS_EXPECTED;
        }
        boolean programStarted = logSinceStart().contains("event=%s.started".formatted(program));
        return !programStarted && process.exitValue() == HANGUP_EXIT_STATUS
                ? State.HUNG_UP_BEFORE_START
                : State.EXITED;
    }

    /** Returns the log of all starts of the process. */
    synchronized String fullLog() throws IOException {
        return Files.readString(logFile);
    }

    /** Returns the log since the last start of the process. */
    synchronized String logSinceStart() throws IOException {
        byte[] all = Files.readAllBytes(logFile);
        int offset = (int) logOffsetBytes;
        return new String(all, offset, all.length - offset, StandardCharsets.UTF_8);
    }

    @Override
    public synchronized void close() {
        shouldRun = false;
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
