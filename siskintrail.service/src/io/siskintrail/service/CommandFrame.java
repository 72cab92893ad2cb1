package io.siskintrail.service;

import io.siskintrail.lib.Failure;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The command line that the long-running binaries share: {@code --help}, {@code --version} and
 * {@code --settings FILE}.
 */
public final class CommandFrame {
    /** Exit status of a success. */
    public static final int EXIT_OK = 0;

    /** Exit status of a failure at run time. */
    public static final int EXIT_FAILED = 1;

    /** Exit status of a wrong command line or wrong settings. */
    public static final int EXIT_USAGE = 2;

    private static final String VERSION = "0.1.0";
    private static final int HELP_WIDTH = 100;

    private final String name;
    private final String purpose;
    private boolean boundedLogs;
    private boolean endsOnFaults;

    /**
     * Describes a binary.
     *
     * @param name the name of the program, as in {@code bin/}
     * @param purpose one line for {@code --help}
     */
    public CommandFrame(String name, String purpose) {
        this.name = name;
        this.purpose = purpose;
    }

    /** Makes the program log to standard output, bounded in number and without ever blocking. */
    public CommandFrame withBoundedLogs() {
        boundedLogs = true;
        return this;
    }

    /**
     * Lets the process end at what none of its threads handles; for programs that keep nothing but
     * what their disk holds.
     */
    public CommandFrame endingOnFaults() {
        endsOnFaults = true;
        return this;
    }

    /**
     * Reads the settings that the arguments name, builds the service from them, runs it until the
     * process is asked to end, and stops it.
     *
     * @param args the arguments of {@code main}
     * @param type the record whose components are the keys of the settings file
     * @param factory makes the service
     * @param <T> the settings record
     * @return the exit status
     */
    public <T> int run(String[] args, Class<T> type, Function<T, ? extends Service> factory) {
        return run(args, SettingsFormat.of(type), factory);
    }

    /**
     * Does the same with settings in a format of the program's own.
     *
     * @param args the arguments of {@code main}
     * @param format reads the settings file
     * @param factory makes the service
     * @param <T> the settings
     * @return the exit status
     */
    public <T> int run(
            String[] args, SettingsFormat<T> format, Function<T, ? extends Service> factory) {
        HangUp hangUp = HangUp.install();
        if (endsOnFaults) {
            ThreadFaults.endProcessOnFaults();
        }
        if (boundedLogs) {
            LogSetup.installBounded();
        } else {
            LogSetup.install();
        }
        Options options = options();
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            return fail(new Failure(ResultCode.BAD_COMMAND_LINE, e.getMessage()));
        }
        if (line.hasOption("help")) {
            printHelp(options);
            return EXIT_OK;
        }
        if (line.hasOption("version")) {
            System.out.println(name + " " + VERSION);
            return EXIT_OK;
        }
        if (!line.hasOption("settings")) {
            return fail(new Failure(ResultCode.BAD_COMMAND_LINE, "--settings FILE is required"));
        }
        Path file = Path.of(line.getOptionValue("settings"));
        SettingsWatch<T> watch = new SettingsWatch<>(hangUp, file, format);
        Result<T> settings = format.read(file);
        if (settings instanceof Result.Err<T> err) {
            return fail(err.failure());
        }
        Service service = factory.apply(((Result.Ok<T>) settings).value());
        ShutdownSignal.run(service, () -> start(service, watch));
        return EXIT_OK;
    }

    /** A service that can be reloaded takes the type of settings that it was made from. */
    @SuppressWarnings("unchecked")
    private static <T> void start(Service service, SettingsWatch<T> watch) {
        service.start();
        if (service instanceof Reloadable<?>) {
            watch.start((Reloadable<T>) service);
        }
    }

    private int fail(Failure failure) {
        System.err.println(name + ": " + failure);
        return EXIT_USAGE;
    }

    private void printHelp(Options options) {
        PrintWriter out = new PrintWriter(System.out, true);
        new HelpFormatter()
                .printHelp(
                        out,
                        HELP_WIDTH,
                        name + " --settings FILE",
                        purpose,
                        options,
                        HelpFormatter.DEFAULT_LEFT_PAD,
                        HelpFormatter.DEFAULT_DESC_PAD,
                        "");
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(Option.builder().longOpt("help").desc("print this help").build());
        options.addOption(Option.builder().longOpt("version").desc("print the version").build());
        options.addOption(
                Option.builder()
                        .longOpt("settings")
                        .hasArg()
                        .argName("FILE")
                        .desc("settings in JSON")
                        .build());
        return options;
    }
}
