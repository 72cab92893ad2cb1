package io.siskintrail.pgm;

import io.siskintrail.lib.ResultCode;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/** Lists the commands. */
final class CommandCatalog {
    private static final int DEFAULT_HISTORY = 20;
    private static final int DEFAULT_ORDERS = 100;

    static final List<CommandSpec> ALL =
            List.of(
                    new CommandSpec(
                            "rules check",
                            List.of("FILE"),
                            List.of(),
                            false,
                            (l, o) -> new RulesCheckCommand().setFile(Path.of(o.get(0)))),
                    new CommandSpec(
                            "rules show",
                            List.of(),
                            List.of(),
                            true,
                            (l, o) -> new RulesShowCommand()),
                    new CommandSpec(
                            "rules diff",
                            List.of("FILE"),
                            List.of(),
                            true,
                            (l, o) -> new RulesDiffCommand().setFile(Path.of(o.get(0)))),
                    new CommandSpec(
                            "rules apply",
                            List.of("FILE"),
                            List.of(option("from", "N", true)),
                            true,
                            (l, o) ->
                                    new RulesApplyCommand()
                                            .setFile(Path.of(o.get(0)))
                                            .setFrom(number(l, "from", 0))),
                    new CommandSpec(
                            "rules history",
                            List.of(),
                            List.of(option("limit", "N", false)),
                            true,
                            (l, o) ->
                                    new RulesHistoryCommand()
                                            .setLimit((int) number(l, "limit", DEFAULT_HISTORY))),
                    new CommandSpec(
                            "status", List.of(), List.of(), true, (l, o) -> new StatusCommand()),
                    new CommandSpec(
                            "accounts",
                            List.of(),
                            List.of(),
                            true,
                            (l, o) -> new AccountsCommand()),
                    new CommandSpec(
                            "orders",
                            List.of(),
                            List.of(option("state", "STATE", false), option("limit", "N", false)),
                            true,
                            (l, o) ->
                                    new OrdersCommand()
                                            .setState(l.getOptionValue("state", ""))
                                            .setLimit((int) number(l, "limit", DEFAULT_ORDERS))),
                    new CommandSpec(
                            "endpoints",
                            List.of(),
                            List.of(option(CommandSpec.ROUTER, "URL", false)),
                            true,
                            (l, o) -> new EndpointsCommand()),
                    new CommandSpec(
                            "waits",
                            List.of(),
                            List.of(option(CommandSpec.ROUTER, "URL", false)),
                            true,
                            (l, o) -> new WaitsCommand()),
                    new CommandSpec(
                            "drain",
                            List.of("HOST"),
                            List.of(Option.builder().longOpt("undo").build()),
                            true,
                            (l, o) ->
                                    new DrainCommand()
                                            .setHost(o.get(0))
                                            .setUndo(l.hasOption("undo"))),
                    new CommandSpec(
                            "hosts", List.of(), List.of(), true, (l, o) -> new HostsCommand()),
                    new CommandSpec(
                            "hosts add",
                            List.of("ID", "DOMAIN", "ADDRESS"),
                            List.of(),
                            true,
                            (l, o) ->
                                    new HostsAddCommand()
                                            .setId(o.get(0))
                                            .setDomain(o.get(1))
                                            .setAddress(o.get(2))),
                    new CommandSpec(
                            "hosts remove",
                            List.of("ID"),
                            List.of(),
                            true,
                            (l, o) -> new HostsRemoveCommand().setId(o.get(0))));

    private CommandCatalog() {}

    /** Returns the command with the longest name that {@code words} begin with. */
    static Optional<CommandSpec> find(List<String> words) {
        String text = String.join(" ", words) + " ";
        return ALL.stream()
                .filter(s -> text.startsWith(s.name() + " "))
                .max((a, b) -> Integer.compare(a.name().length(), b.name().length()));
    }

    private static Option option(String name, String arg, boolean required) {
        return Option.builder().longOpt(name).hasArg().argName(arg).required(required).build();
    }

    private static long number(CommandLine line, String name, long otherwise)
            throws CommandException {
        String text = line.getOptionValue(name);
        if (text == null) {
            return otherwise;
        }
        if (!text.matches("[0-9]{1,9}")) {
            throw CommandException.of(
                    ResultCode.BAD_COMMAND_LINE,
                    "--%s: %s is not a whole number".formatted(name, text));
        }
        return Long.parseLong(text);
    }
}
