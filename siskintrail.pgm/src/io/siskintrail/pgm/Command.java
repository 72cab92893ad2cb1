package io.siskintrail.pgm;

/** One command: set up by chained setters, then run once by {@link #call()}. */
abstract class Command {
    private Output output;
    private AdminApi api;

    /** Sets where results go. */
    Command setOutput(Output value) {
        output = value;
        return this;
    }

    /** Sets whom to ask; null for commands that ask nobody. */
    Command setApi(AdminApi value) {
        api = value;
        return this;
    }

    Output output() {
        return output;
    }

    AdminApi api() {
        return api;
    }

    /**
     * Runs the command and prints its result.
     *
     * @throws CommandException when the command failed; the caller prints it
     */
    abstract void call() throws CommandException;
}
