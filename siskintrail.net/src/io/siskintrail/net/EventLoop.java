package io.siskintrail.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ImmediateEventExecutor;
import io.siskintrail.service.LogEvent;
import io.siskintrail.service.Service;
import io.siskintrail.service.ThreadFaults;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * Owns the single thread that handles all sockets, timers and state of a process. On one core a
 * second thread for traffic would only add wake-ups, so control state is handled here as well.
 */
public final class EventLoop implements Service {
    private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long STOP_TIMEOUT_MILLIS = 500;

    private final EventLoopGroup group;

    /** The open channels; one that is added after {@link #stop()} is closed at once. */
    private final ChannelGroup channels =
            new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE, true);

    /** Creates an event loop whose thread is called {@code name}. */
    public EventLoop(String name) {
        ThreadFactory threadFactory = task -> new Thread(task, name);
        group = new MultiThreadIoEventLoopGroup(1, threadFactory, NioIoHandler.newFactory());
    }

    /** Returns the monotonic time in milliseconds, from an arbitrary origin. */
    public static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Returns the event loop group, for Netty bootstraps. */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * Lets {@link #stop()} close {@code channel}, and returns it. The event loop group alone closes
     * its channels on most, but not on all shutdowns without a quiet period.
     */
    public <C extends Channel> C closeOnStop(C channel) {
        channels.add(channel);
        return channel;
    }

    /**
     * Runs {@code task} on the loop; drops it after {@link #stop()}. May be called on any thread.
     */
    public void execute(Runnable task) {
        try {
            group.execute(logFailures(task));
        } catch (RejectedExecutionException e) {
            LogEvent.debug(LOG, "loop.task.dropped").write();
        }
    }

    /**
     * Runs {@code task} on the loop and waits until it has ended; must not be called on the loop.
     * The calling thread is blocked meanwhile, so that programs start as if on a single thread.
     *
     * @throws IllegalStateException when the task fails
     */
    public void call(Runnable task) {
        Future<?> done = group.submit(task);
        done.awaitUninterruptibly();
        if (!done.isSuccess()) {
            throw new IllegalStateException("a task on the event loop failed", done.cause());
        }
    }

    /** Schedules {@code task} on the loop after {@code millis}. */
    public Future<?> after(long millis, Runnable task) {
        return group.schedule(logFailures(task), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Schedules {@code task} on the loop with a fixed delay and an initial delay of {@code millis}.
     */
    public Future<?> every(long millis, Runnable task) {
        return group.scheduleWithFixedDelay(
                logFailures(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void start() {}

    /**
     * Closes all channels, stops the loop and waits up to 1.5 s for its thread to end; must not be
     * called on the loop.
     */
    @Override
    public void stop() {
        if (!group.isShuttingDown()) {
            group.submit(() -> channels.close()).awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
        }
        group.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(2 * STOP_TIMEOUT_MILLIS);
    }

    private static Runnable logFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                LOG.log(System.Logger.Level.ERROR, "event=loop.task.failed", e);
                ThreadFaults.caught(e);
            }
        };
    }
}
