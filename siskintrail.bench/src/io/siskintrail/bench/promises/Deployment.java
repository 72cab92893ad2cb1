package io.siskintrail.bench.promises;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The processes of one deployment on this machine, started from a folder of settings. Each process
 * has a folder of its own for its log and its data.
 */
final class Deployment implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long EXIT_SECONDS = 5;
    private static final List<String> JVM =
            List.of("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private final Path work;
    private final String classpath;
    private final Map<String, Path> settings = new TreeMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();

    /**
     * Prepares the processes of a folder of settings.
     *
     * @param folder the settings, one JSON file for each process
     * @param work an empty folder
     * @param classpath where the programs are
     * @param network the first two bytes of the loopback addresses to use instead of the settings'
     */
    Deployment(Path folder, Path work, String classpath, String network) throws IOException {
        this.work = work;
        this.classpath = classpath;
        Runtime.getRuntime().addShutdownHook(new Thread(this::destroyAll, "deployment-end"));
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".json")).toList()) {
                String name = file.getFileName().toString().replace(".json", "");
                Path own = Files.createDirectories(work.resolve(name));
                String text = Files.readString(file).replaceAll("127\\.\\d+\\.", network + ".");
                settings.put(name, Files.writeString(own.resolve("settings.json"), text));
            }
        }
    }

    /** Returns the names of all processes that begin with {@code role}. */
    List<String> names(String role) {
        return settings.keySet().stream().filter(n -> n.startsWith(role)).toList();
    }

    /** Returns {@code ip:port} of a setting of a process. */
    String address(String name, String key) throws IOException {
        return MAPPER.readTree(settings.get(name).toFile()).path(key).asText();
    }

    void startAll() throws IOException {
        for (String name : settings.keySet()) {
            start(name);
        }
    }

    void start(String name) throws IOException {
        String role = name.split("-")[0];
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM);
        command.addAll(List.of("-cp", classpath, "io.siskintrail." + role + ".Main"));
        command.addAll(List.of("--settings", "settings.json"));
        File folder = work.resolve(name).toFile();
        File log = new File(folder, "log");
        Process process =
                new ProcessBuilder(command)
                        .directory(folder)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start();
        processes.put(name, process);
    }

    /** Ends a process without notice. */
    void kill(String name) throws InterruptedException {
        Process process = processes.remove(name);
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Asks a process to end and waits for it; returns false when it did not within the time. */
    boolean terminate(String name, long seconds) throws InterruptedException {
        Process process = processes.remove(name);
        process.destroy();
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    /** Stops a process where it stands until {@link #resume}. */
    void pause(String name) throws IOException, InterruptedException {
        signal(name, "STOP");
    }

    /** Lets a paused process go on. */
    void resume(String name) throws IOException, InterruptedException {
        signal(name, "CONT");
    }

    /** Deletes the data of a process that does not run, as the loss of its disk does. */
    void loseDisk(String name) throws IOException {
        Path data = work.resolve(name).resolve("data");
        if (!Files.exists(data)) {
            return;
        }
        try (Stream<Path> all = Files.walk(data)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    boolean runs(String name) {
        Process process = processes.get(name);
        return process != null && process.isAlive();
    }

    @Override
    public void close() throws InterruptedException {
        destroyAll();
        for (Process process : processes.values()) {
            process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private void destroyAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    private void signal(String name, String signal) throws IOException, InterruptedException {
        Process process = processes.get(name);
        if (process != null) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }
    }
}
