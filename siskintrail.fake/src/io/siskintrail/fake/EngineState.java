package io.siskintrail.fake;

import io.siskintrail.lib.ModelId;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What the connections of one fake engine share: slots, the prefix cache, injected faults and
 * counters. Safe for use by several threads.
 */
public final class EngineState {
    private static final int CACHED_PROMPTS = 64;

    private final FakeEngineSettings settings;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private final Set<String> cache = Collections.newSetFromMap(new BoundedMap());
    private final AtomicLong decodedTokens = new AtomicLong();
    private final AtomicLong computedPromptTokens = new AtomicLong();
    private final AtomicLong startedStreams = new AtomicLong();
    private final Set<String> startedPrompts = new HashSet<>();
    private long lastStartMillis;
    private int running;
    private volatile boolean paused;
    private EngineFault fault = EngineFault.NONE;
    private int faultOffset;
    private String deadlyMarker;
    private Runnable onDeadlyPrompt;

    EngineState(FakeEngineSettings settings) {
        this.settings = settings;
    }

    /** Returns the tokens decoded since the start, over all streams. */
    public long decodedTokens() {
        return decodedTokens.get();
    }

    /** Returns the prompt and prefix tokens computed since the start; cached ones do not count. */
    public long computedPromptTokens() {
        return computedPromptTokens.get();
    }

    /** Returns how many streams have begun since the start. */
    public long startedStreams() {
        return startedStreams.get();
    }

    /** Returns the wall-clock time in milliseconds of the last start of a stream, 0 for none. */
    public synchronized long lastStartMillis() {
        return lastStartMillis;
    }

    /** Returns the first words of all prompts whose streams have begun. */
    public synchronized Set<String> startedPrompts() {
        return new HashSet<>(startedPrompts);
    }

    /** Returns how many streams hold a slot now. */
    public synchronized int running() {
        return running;
    }

    /** Returns how many streams wait for a slot now. */
    public synchronized int waiting() {
        return waiting.size();
    }

    FakeEngineSettings settings() {
        return settings;
    }

    boolean paused() {
        return paused;
    }

    void setPaused(boolean paused) {
        this.paused = paused;
    }

    boolean serves(ModelId model) {
        return settings.models().contains(model);
    }

    /** Runs {@code start} as soon as a slot is free. */
    synchronized void acquire(Runnable start) {
        if (running < settings.slots()) {
            running++;
            start.run();
        } else {
            waiting.add(start);
        }
    }

    synchronized void release() {
        Runnable next = waiting.poll();
        if (next == null) {
            running--;
        } else {
            next.run();
        }
    }

    synchronized void withdraw(Runnable start) {
        waiting.remove(start);
    }

    /** Counts the prompt as computed unless it is cached; returns whether it was cached. */
    synchronized boolean computePrompt(String prompt, int prefixTokens) {
        startedStreams.incrementAndGet();
        lastStartMillis = System.currentTimeMillis();
        startedPrompts.add(prompt.split(" ", 2)[0]);
        computedPromptTokens.addAndGet(prefixTokens);
        boolean cached = !cache.add(prompt);
        if (!cached) {
            computedPromptTokens.addAndGet(prompt.split(" ").length);
        }
        return cached;
    }

    synchronized void forgetCache() {
        cache.clear();
        waiting.clear();
        running = 0;
    }

    void countDecoded() {
        decodedTokens.incrementAndGet();
    }

    synchronized void inject(EngineFault fault, int tokenOffset) {
        this.fault = fault;
        this.faultOffset = tokenOffset;
    }

    /** Returns the injected fault if it is due at {@code offset}, and takes it out. */
    synchronized EngineFault takeFault(int offset) {
        if (fault == EngineFault.NONE || offset < faultOffset) {
            return EngineFault.NONE;
        }
        EngineFault due = fault;
        fault = EngineFault.NONE;
        return due;
    }

    synchronized void dieOn(String marker, Runnable onDeadlyPrompt) {
        this.deadlyMarker = marker;
        this.onDeadlyPrompt = onDeadlyPrompt;
    }

    synchronized boolean diesOn(String prompt) {
        if (deadlyMarker == null || !prompt.contains(deadlyMarker)) {
            return false;
        }
        onDeadlyPrompt.run();
        return true;
    }

    private static final class BoundedMap extends LinkedHashMap<String, Boolean> {
        private static final long serialVersionUID = 1L;

        BoundedMap() {
            super(CACHED_PROMPTS, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > CACHED_PROMPTS;
        }
    }
}
