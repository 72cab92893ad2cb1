package io.siskintrail.service;

import io.siskintrail.lib.ResultCode;

/**
 * Ends a process whose threads meet an error that they cannot handle, so that it is started again
 * instead of looking alive. Programs that keep nothing but what their disk holds ask for it;
 * without that, errors are logged and the threads go on. Thread-safe.
 */
public final class ThreadFaults {
    /** Exit status of a process that was ended here. */
    public static final int EXIT_BROKEN = 70;

    private ThreadFaults() {}

    /** Ends this process, from now on, at each throwable that a thread does not handle. */
    public static void endProcessOnFaults() {
        Thread.setDefaultUncaughtExceptionHandler((thread, fault) -> end(thread, fault));
    }

    /** Hands over a throwable that was caught; ends the process, if asked for, at an error. */
    public static void caught(Throwable fault) {
        if (fault instanceof Error) {
            fatal(fault);
        }
    }

    /** Hands over a throwable after which the process cannot go on; ends it, if asked for. */
    public static void fatal(Throwable fault) {
        Thread.UncaughtExceptionHandler handler = Thread.getDefaultUncaughtExceptionHandler();
        if (handler != null) {
            handler.uncaughtException(Thread.currentThread(), fault);
        }
    }

    /** Ends without shutdown hooks: they need threads and memory that may not be there. */
    private static void end(Thread thread, Throwable fault) {
        try {
            System.err.println(
                    "level=ERROR logger=ThreadFaults event=process.ended code="
                            + ResultCode.PROCESS_BROKEN.number()
                            + " thread="
                            + thread.getName()
                            + " cause=\""
                            + fault
                            + '"');
            fault.printStackTrace();
        } finally {
            Runtime.getRuntime().halt(EXIT_BROKEN);
        }
    }
}
