package io.siskintrail.pgm;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/**
 * Describes a command to the {@link Launcher}.
 *
 * @param name its words, as {@code rules apply}
 * @param operands the names of the operands, all required
 * @param options its own options
 * @param needsControl whether it speaks to a control host
 * @param factory sets the command up from the arguments
 */
record CommandSpec(
        String name,
        List<String> operands,
        List<Option> options,
        boolean needsControl,
        Factory factory) {

    /** The option of commands that ask a router in place of control. */
    static final String ROUTER = "router";

    /** Returns whether the command asks a router. */
    boolean asksRouter() {
        return options.stream().anyMatch(o -> ROUTER.equals(o.getLongOpt()));
    }

    /** Sets a command up. */
    @FunctionalInterface
    interface Factory {
        Command create(CommandLine line, List<String> operands) throws CommandException;
    }

    /** Returns one line for the help. */
    String usage() {
        StringBuilder usage = new StringBuilder(name);
        operands.forEach(o -> usage.append(' ').append(o));
        for (Option o : options) {
            String text = "--" + o.getLongOpt() + (o.hasArg() ? " " + o.getArgName() : "");
            usage.append(o.isRequired() ? " " + text : " [" + text + "]");
        }
        return usage.toString();
    }

    /** Returns what the command is for. */
    String purpose() {
        return Messages.text("purpose." + name.replace(' ', '.'));
    }
}
