package io.siskintrail.pgm;

import io.siskintrail.lib.ResultCode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Finds the command that the arguments name, runs it and prints its failure. */
public final class Launcher {
    private static final String CONTROL_VARIABLE = "SISKINTRAIL_CONTROL";
    private static final String ROUTER_VARIABLE = "SISKINTRAIL_ROUTER";
    private static final String TOKEN_VARIABLE = "SISKINTRAIL_TOKEN";

    private final Map<String, String> environment;
    private final PrintWriter out;
    private final PrintWriter err;

    /** Takes the environment and where to print; the caller owns the writers. */
    public Launcher(Map<String, String> environment, PrintWriter out, PrintWriter err) {
        this.environment = Map.copyOf(environment);
        this.out = out;
        this.err = err;
    }

    /** Runs one command and returns the exit status of the process. */
    public int run(String... args) {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
            printHelp();
            return args.length == 0 ? ExitStatus.USAGE.number() : ExitStatus.OK.number();
        }
        Output output = new Output(out, err, Arrays.asList(args).contains("--json"));
        try {
            command(args, output).call();
            out.flush();
            return ExitStatus.OK.number();
        } catch (CommandException e) {
            output.failure(e);
            return ExitStatus.of(e.code()).number();
        }
    }

    private Command command(String[] args, Output output) throws CommandException {
        CommandSpec spec = CommandCatalog.find(List.of(args)).orElse(null);
        if (spec == null) {
            throw usage(Messages.text("error.command", String.join(" ", args)));
        }
        int words = spec.name().split(" ").length;
        CommandLine line = parse(spec, Arrays.copyOfRange(args, words, args.length));
        List<String> operands = new ArrayList<>(line.getArgList());
        if (operands.size() < spec.operands().size()) {
            String missing = spec.operands().get(operands.size());
            throw usage(Messages.text("error.operand", spec.name(), missing));
        }
        if (operands.size() > spec.operands().size()) {
            String surplus = operands.get(spec.operands().size());
            throw usage(Messages.text("error.surplus", surplus));
        }
        Command command = spec.factory().create(line, operands).setOutput(output);
        return spec.needsControl() ? command.setApi(api(spec, line)) : command;
    }

    private static CommandLine parse(CommandSpec spec, String[] rest) throws CommandException {
        Options options = new Options();
        options.addOption(Option.builder().longOpt("json").build());
        options.addOption(Option.builder().longOpt("control").hasArg().argName("URLS").build());
        options.addOption(Option.builder().longOpt("token-file").hasArg().argName("FILE").build());
        spec.options().forEach(o -> options.addOption((Option) o.clone()));
        try {
            return new DefaultParser().parse(options, rest);
        } catch (ParseException e) {
            throw usage(e.getMessage() + "; usage: siskintrail " + spec.usage());
        }
    }

    private AdminApi api(CommandSpec spec, CommandLine line) throws CommandException {
        String hosts =
                spec.asksRouter()
                        ? line.getOptionValue(CommandSpec.ROUTER, environment.get(ROUTER_VARIABLE))
                        : line.getOptionValue("control", environment.get(CONTROL_VARIABLE));
        if (hosts == null || hosts.isBlank()) {
            throw usage(Messages.text(spec.asksRouter() ? "error.router" : "error.control"));
        }
        String token = environment.get(TOKEN_VARIABLE);
        if (line.hasOption("token-file")) {
            token = RulesFiles.read(Path.of(line.getOptionValue("token-file"))).strip();
        }
        if (token == null || token.isBlank()) {
            throw usage(Messages.text("error.token"));
        }
        return new AdminApi(List.of(hosts.split(",")), token);
    }

    private static CommandException usage(String detail) {
        return CommandException.of(ResultCode.BAD_COMMAND_LINE, detail);
    }

    private void printHelp() {
        out.println(Messages.text("usage"));
        int width = CommandCatalog.ALL.stream().mapToInt(s -> s.usage().length()).max().orElse(0);
        for (CommandSpec spec : CommandCatalog.ALL) {
            out.printf("  %-" + width + "s  %s%n", spec.usage(), spec.purpose());
        }
        out.println("  [--json] [--control URL[,URL]] [--token-file FILE]");
        out.println(Messages.text("usage.footer"));
        out.flush();
    }
}
