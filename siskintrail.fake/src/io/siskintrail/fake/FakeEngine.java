package io.siskintrail.fake;

import io.netty.channel.ChannelHandler;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.EndpointKind;
import io.siskintrail.lib.FailureDomain;
import java.util.List;

/** A stand-in for a model engine: it streams the tokens of {@link FakeTokens} over HTTP. */
public final class FakeEngine extends FakeEndpoint {
    private final FakeEngineSettings settings;
    private final EngineState state;

    /** Prepares an engine. */
    public FakeEngine(FakeEngineSettings settings) {
        super(
                settings.listen(),
                new FakeAnnouncement(settings.announceTo(), settings.announceToken()));
        this.settings = settings;
        this.state = new EngineState(settings);
    }

    /** Makes the next stream that reaches {@code tokenOffset} show {@code fault} once. */
    public void inject(EngineFault fault, int tokenOffset) {
        state.inject(fault, tokenOffset);
    }

    /** Kills the engine whenever a prompt holds {@code marker}. */
    public void dieOn(String marker) {
        state.dieOn(marker, this::killSoon);
    }

    /** Returns the counters of the work done so far. */
    public EngineState state() {
        return state;
    }

    @Override
    public String id() {
        return settings.id();
    }

    @Override
    public int running() {
        return state.running();
    }

    @Override
    public int waiting() {
        return state.waiting();
    }

    @Override
    protected EndpointInfo describe(String address, long incarnation) {
        return new EndpointInfo(
                new EndpointId(settings.id()),
                address,
                EndpointKind.ENGINE,
                new FailureDomain(settings.domain()),
                settings.models(),
                List.of(),
                settings.slots(),
                settings.checksFencing(),
                incarnation,
                false);
    }

    @Override
    protected ChannelHandler newHandler() {
        return new EngineHandler(state);
    }

    @Override
    protected void setPaused(boolean paused) {
        state.setPaused(paused);
    }

    @Override
    protected void forget() {
        state.forgetCache();
    }
}
