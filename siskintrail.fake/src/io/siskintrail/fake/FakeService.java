package io.siskintrail.fake;

import io.netty.channel.ChannelHandler;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.EndpointKind;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ServiceName;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A stand-in for a plain service. It counts how often it executes each call, by the call's
 * idempotency key, so that a test sees an order that ran twice.
 */
public final class FakeService extends FakeEndpoint {
    private final FakeServiceSettings settings;
    private final ServiceState state;

    /** Prepares a service. */
    public FakeService(FakeServiceSettings settings) {
        super(
                settings.listen(),
                new FakeAnnouncement(settings.announceTo(), settings.announceToken()));
        this.settings = settings;
        this.state = new ServiceState(settings.answerMillis());
    }

    /** Calls {@code listener} as calls proceed, on the thread that serves them. */
    public void onPhase(Consumer<CallPhase> listener) {
        state.setListener(listener);
    }

    /** Makes the next call show {@code fault}. */
    public void inject(ServiceFault fault) {
        state.inject(fault);
    }

    /** Returns how often the call with each key was executed; crashes do not reset it. */
    public Map<String, Integer> executions() {
        return state.executions();
    }

    /** Returns how often the call with an {@code X-Request-Id} was executed. */
    public int executionsOfRequest(String requestId) {
        return state.executionsOfRequest(requestId);
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
        return 0;
    }

    @Override
    protected EndpointInfo describe(String address, long incarnation) {
        return new EndpointInfo(
                new EndpointId(settings.id()),
                address,
                EndpointKind.SERVICE,
                new FailureDomain(settings.domain()),
                List.of(),
                List.of(new ServiceName(settings.service())),
                settings.slots(),
                false,
                incarnation,
                false);
    }

    @Override
    protected ChannelHandler newHandler() {
        return new ServiceHandler(state);
    }

    @Override
    protected void setPaused(boolean paused) {
        state.setPaused(paused);
    }

    @Override
    protected void forget() {
        state.setPaused(false);
    }
}
