package io.siskintrail.service;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** Sends all log events of the process to standard error, one line each. */
public final class LogSetup {
    static {
        System.setProperty("java.util.logging.manager", ServiceLogManager.class.getName());
    }

    /** Held, because java.util.logging forgets levels of loggers that nobody refers to. */
    private static final Logger OWN = Logger.getLogger("io.siskintrail");

    /** Warns of each connection that an endpoint resets; the event endpoint.lost tells of them. */
    private static final Logger NETTY_PIPELINE =
            Logger.getLogger("io.netty.channel.DefaultChannelPipeline");

    private LogSetup() {}

    /** Replaces the handlers of the process; libraries log from level WARNING on. */
    public static void install() {
        replaceHandlers(new FlushingHandler());
    }

    /** Sends log events to standard output, bounded in number, on a thread of its own. */
    public static void installBounded() {
        replaceHandlers(new BoundedLogHandler(System.out));
    }

    /** Writes what is queued, when the process is about to end. */
    static void end() {
        if (LogManager.getLogManager() instanceof ServiceLogManager m) {
            m.end();
        }
    }

    private static void replaceHandlers(Handler next) {
        Logger root = Logger.getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        root.setLevel(Level.WARNING);
        OWN.setLevel(Level.INFO);
        NETTY_PIPELINE.setLevel(Level.SEVERE);
        root.addHandler(next);
    }

    private static final class FlushingHandler extends StreamHandler {
        FlushingHandler() {
            super(System.err, new LineFormatter());
            setLevel(Level.ALL);
        }

        @Override
        public synchronized void publish(LogRecord event) {
            super.publish(event);
            flush();
        }
    }
}
