package io.siskintrail.edge.internal;

import io.siskintrail.net.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Requests that arrived before the first configuration and wait for it. Confined to the event loop.
 */
final class HeldRequests {
    private static final System.Logger LOG = System.getLogger(HeldRequests.class.getName());

    private final EventLoop loop;
    private final Set<Runnable> held = new LinkedHashSet<>();

    HeldRequests(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns the number of requests that wait. */
    int size() {
        return held.size();
    }

    /** Calls {@code resume} once: after {@code millis}, or earlier by {@link #resumeAll()}. */
    void add(Runnable resume, long millis) {
        held.add(resume);
        loop.after(millis, () -> resume(resume));
    }

    /**
     * Resumes all requests in the order of their arrival, also those behind one at which that
     * fails.
     */
    void resumeAll() {
        for (Runnable request : List.copyOf(held)) {
            try {
                resume(request);
            } catch (RuntimeException | Error e) {
                LOG.log(System.Logger.Level.ERROR, "event=held.resume.failed", e);
            }
        }
    }

    private void resume(Runnable request) {
        if (held.remove(request)) {
            request.run();
        }
    }
}
