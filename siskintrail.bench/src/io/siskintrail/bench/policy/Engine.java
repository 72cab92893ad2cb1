package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.PolicyInput;
import io.siskintrail.lib.EndpointInfo;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A fake of an engine's queue: fixed slots, a service rate, a lagging report, a bounded cache. */
final class Engine {
    static final double PREFILL_TOKENS_PER_MILLI = 8;
    static final double MILLIS_PER_TOKEN = 1000.0 / 30;
    static final int BLOCK_TOKENS = 64;

    final EndpointInfo info;
    final Set<Job> running = new LinkedHashSet<>();
    private final World world;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final int maxBlocks;
    private long eventSequence;
    boolean up = true;
    private long overSince = -1;
    private long longestOver;
    long computedPromptTokens;
    long promptTokens;

    Engine(World world, EndpointInfo info, int maxBlocks) {
        this.world = world;
        this.info = info;
        this.maxBlocks = maxBlocks;
    }

    /** One attempt of a call on this engine. */
    static final class Job {
        final Call call;
        private final int remaining;
        private long startedAt = -1;
        private long decodeAt;
        private boolean over;

        Job(Call call) {
            this.call = call;
            this.remaining = call.request.outputTokens - call.request.delivered;
        }

        int tokens(long now) {
            if (startedAt < 0 || now < decodeAt) {
                return 0;
            }
            return Math.min(remaining, (int) ((now - decodeAt) / MILLIS_PER_TOKEN));
        }
    }

    int load() {
        return running.size() + queue.size();
    }

    PolicyInput.LoadReport report() {
        return new PolicyInput.LoadReport(info.id(), running.size(), queue.size());
    }

    PolicyInput.CacheSnapshot snapshot() {
        return new PolicyInput.CacheSnapshot(info.id(), eventSequence, blocks(cache.keySet()));
    }

    /** Returns how many leading blocks of {@code prefix} are cached. */
    int cached(long[] prefix) {
        int n = 0;
        while (n < prefix.length && cache.containsKey(prefix[n])) {
            n++;
        }
        return n;
    }

    void submit(Call call) {
        Job job = new Job(call);
        call.job = job;
        queue.add(job);
        noteOver();
        fill();
    }

    /** Cancels a job; returns the tokens that it has generated. */
    int cancel(Job job) {
        int tokens = job.tokens(world.now());
        finish(job);
        fill();
        return tokens;
    }

    /** Ends all jobs at once. */
    List<Job> die() {
        up = false;
        List<Job> jobs = new ArrayList<>(running);
        jobs.addAll(queue);
        jobs.forEach(this::finish);
        cache.clear();
        return jobs;
    }

    /** Ends the accounting of slots at the end of a run. */
    void close() {
        new ArrayList<>(running).forEach(this::finish);
    }

    private void fill() {
        while (up && running.size() < info.slots() && !queue.isEmpty()) {
            start(queue.poll());
        }
    }

    private void start(Job job) {
        Request r = job.call.request;
        int hit = cached(r.prefix);
        int prompt = r.promptTokens + r.delivered;
        int computed = Math.max(0, prompt - hit * BLOCK_TOKENS);
        promptTokens += prompt;
        computedPromptTokens += computed;
        store(r.prefix);
        long now = world.now();
        job.startedAt = now;
        job.decodeAt = now + Math.round(computed / PREFILL_TOKENS_PER_MILLI);
        running.add(job);
        if (r.poisonous) {
            world.at(now + 20, () -> world.kill(this));
            return;
        }
        long first = job.decodeAt + Math.round(MILLIS_PER_TOKEN);
        world.at(first, () -> whileRunning(job, () -> world.firstToken(job.call)));
        long end = job.decodeAt + Math.round(job.remaining * MILLIS_PER_TOKEN);
        world.at(end, () -> whileRunning(job, () -> complete(job)));
    }

    private void whileRunning(Job job, Runnable action) {
        if (!job.over) {
            action.run();
        }
    }

    private void complete(Job job) {
        finish(job);
        fill();
        world.completed(job.call, job.remaining);
    }

    private void finish(Job job) {
        if (job.over) {
            return;
        }
        job.over = true;
        queue.remove(job);
        running.remove(job);
        noteOver();
        if (job.startedAt < 0) {
            return;
        }
        Request r = job.call.request;
        long now = world.now();
        boolean first = r.spans.isEmpty();
        r.spans.add(new Request.Span(job.startedAt, Math.min(now, job.decodeAt), first));
        if (now > job.decodeAt) {
            r.spans.add(new Request.Span(job.decodeAt, now, true));
        }
    }

    long longestOver(long now) {
        return overSince < 0 ? longestOver : Math.max(longestOver, now - overSince);
    }

    private void noteOver() {
        long now = world.now();
        boolean over = load() > info.slots();
        if (over && overSince < 0) {
            overSince = now;
        } else if (!over && overSince >= 0) {
            longestOver = Math.max(longestOver, now - overSince);
            overSince = -1;
        }
    }

    private void store(long[] prefix) {
        List<Long> stored = new ArrayList<>();
        for (long b : prefix) {
            if (cache.put(b, true) == null) {
                stored.add(b);
            }
        }
        List<Long> removed = new ArrayList<>();
        while (cache.size() > maxBlocks) {
            Long eldest = cache.keySet().iterator().next();
            cache.remove(eldest);
            removed.add(eldest);
        }
        if (!stored.isEmpty() || !removed.isEmpty()) {
            eventSequence++;
            world.publish(
                    new PolicyInput.CacheEvent(
                            info.id(), eventSequence, blocks(stored), blocks(removed)));
        }
    }

    private static long[] blocks(Collection<Long> values) {
        return values.stream().mapToLong(Long::longValue).toArray();
    }
}
