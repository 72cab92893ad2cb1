package io.siskintrail.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs an edge or a registry as a separate process and sends signals to it. Thread-safe. */
final class SoakProcess implements AutoCloseable {
    private static final long TERMINATION_TIMEOUT_SECONDS = 20;

    /** Exit status of a Java runtime that SIGHUP terminated. */
    private static final int HANGUP_EXIT_STATUS = 129;

    private final String program;
    private final Path settingsFile;
    private final Path logFile;
    private Process process;
    private long logOffsetBytes;
    private boolean shouldRun;

    /** State of a process relative to what the soak run requested. */
    enum State {
        /** The process is running, or the soak run has ended the process. */
        AS_EXPECTED,
        /** SIGHUP terminated the runtime before the program installed its signal handler. */
        SIGHUP_BEFORE_HANDLER,
        /** The process exited for another reason, although the soak run did not end the process. */
        EXITED_UNEXPECTEDLY
    }

    /**
     * Creates the object without starting the process. Registers a shutdown hook that kills the
     * process when the test runtime exits.
     *
     * @param program {@code edge} or {@code registry}
     * @param settingsFile settings of the program; the log file has the same path with {@code .log}
     *     appended
     */
    SoakProcess(String program, Path settingsFile) {
        this.program = program;
        this.settingsFile = settingsFile;
        this.logFile = Path.of(settingsFile + ".log");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /**
     * Starts the process and appends its output to the log file. From now on an exit counts as
     * unexpected, until {@link #kill}, {@link #terminate} or {@link #close} is called.
     */
    synchronized void start() throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command =
                new ArrayList<>(
                        List.of(java, "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(Programs.class.getName(), program, "--settings", "" + settingsFile));
        logOffsetBytes = Files.exists(logFile) ? Files.size(logFile) : 0;
        shouldRun = true;
        process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                        .start();
    }

    /**
     * Sends a signal to the process. Has no effect if the process has ended.
     *
     * @param name name of the signal without {@code SIG}, such as {@code STOP}
     */
    synchronized void signal(String name) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        }
    }

    /** Sends SIGTERM to the process without waiting. The process is then expected to end. */
    synchronized void beginTermination() {
        shouldRun = false;
        process.destroy();
    }

    /**
     * Sends a signal to the process if its termination was begun and it is still alive.
     *
     * @param name name of the signal without {@code SIG}
     */
    synchronized void signalDuringTermination(String name)
            throws IOException, InterruptedException {
        if (!shouldRun) {
            signal(name);
        }
    }

    /**
     * Waits for the exit after {@link #beginTermination}; other threads may send signals meanwhile.
     *
     * @return whether the process exited within {@link #TERMINATION_TIMEOUT_SECONDS}
     */
    boolean awaitExit() throws InterruptedException {
        Process exiting;
        synchronized (this) {
            exiting = process;
        }
        return exiting.waitFor(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns whether the program has logged, since the last start, that it has started. */
    synchronized boolean hasStarted() throws IOException {
        return logSinceStart().contains("event=%s.started".formatted(program));
    }

    /**
     * Ends the process by SIGKILL and waits for the exit. The process is then expected to be down.
     */
    synchronized void kill() throws InterruptedException {
        shouldRun = false;
        process.destroyForcibly();
        process.waitFor();
    }

    /**
     * Sends SIGTERM to the process and waits for the exit, at most {@link
     * #TERMINATION_TIMEOUT_SECONDS}. The process is then expected to be down.
     *
     * @return whether the process exited within that time
     */
    synchronized boolean terminate() throws InterruptedException {
        shouldRun = false;
        process.destroy();
        return process.waitFor(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Restarts a process that ended unexpectedly; returns the state before the restart. */
    synchronized State restartIfEnded() throws IOException {
        State state = currentState();
        if (state != State.AS_EXPECTED) {
            start();
        }
        return state;
    }

    private State currentState() throws IOException {
        if (!shouldRun || process.isAlive()) {
            return State.AS_EXPECTED;
        }
        return !hasStarted() && process.exitValue() == HANGUP_EXIT_STATUS
                ? State.SIGHUP_BEFORE_HANDLER
                : State.EXITED_UNEXPECTEDLY;
    }

    /** Returns the complete log file, which all starts append to. */
    synchronized String fullLog() throws IOException {
        return Files.readString(logFile);
    }

    /** Returns the part of the log file that was written since the last start. */
    synchronized String logSinceStart() throws IOException {
        byte[] logBytes = Files.readAllBytes(logFile);
        int offset = (int) logOffsetBytes;
        return new String(logBytes, offset, logBytes.length - offset, StandardCharsets.UTF_8);
    }

    /** Kills the process if {@link #start} was called, without waiting for the exit. */
    @Override
    public synchronized void close() {
        shouldRun = false;
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
