package io.siskintrail.internal.policy;

import static com.google.common.truth.Truth.assertThat;
import static io.siskintrail.internal.policy.Requests.engine;
import static io.siskintrail.internal.policy.Requests.request;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ResultCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the decisions of one dispatcher that is its own coordinator. */
class DispatcherTest {
    private static final HostId SELF = new HostId("entry-1");
    private static final EndpointId ENDPOINT = new EndpointId("e1");

    private final Dispatcher dispatcher = new Dispatcher(SELF, 1, PolicyRules.DEFAULT);
    private long nowMillis;

    @BeforeEach
    void setUpRouter() {
        step(new PolicyInput.Peers(Set.of(SELF), true));
    }

    @Test
    void startsRequestAtOnceWhenSlotIsFree() {
        addRampedUpEndpoint(4);
        assertThat(step(new PolicyInput.Submit(request(1, "a", Rank.URGENT))))
                .containsExactly(new PolicyEffect.Start(1, ENDPOINT));
    }

    @Test
    void refusesTargetThatNoEndpointServes() {
        List<PolicyEffect> effects = step(new PolicyInput.Submit(request(1, "a", Rank.URGENT)));
        assertThat(refusalOf(effects, 1)).isEqualTo(ResultCode.NO_ENDPOINT);
    }

    @Test
    void rampsUpNewEndpoint() {
        step(new PolicyInput.EndpointUp(engine("e1", 8)));
        int started = 0;
        for (int i = 0; i < 8; i++) {
            started +=
                    startedTickets(step(new PolicyInput.Submit(request(i, "a", Rank.BULK)))).size();
        }
        started += startedTickets(advance(50)).size();
        assertThat(started).isEqualTo(1);
        assertThat(startedTickets(advance(2_000))).hasSize(7);
    }

    @Test
    void joinsRequestWithEqualKeyInFlight() {
        addRampedUpEndpoint(4);
        step(new PolicyInput.Submit(request(1, "a", Rank.URGENT, "k")));
        assertThat(step(new PolicyInput.Submit(request(2, "a", Rank.URGENT, "k"))))
                .containsExactly(new PolicyEffect.Join(2, 1));
        step(new PolicyInput.Finished(1, Outcome.DONE, 10));
        assertThat(startedTickets(step(new PolicyInput.Submit(request(3, "a", Rank.URGENT, "k")))))
                .containsExactly(3L);
    }

    @Test
    void suspendsBulkGenerationForUrgentWorkAndResumesIt() {
        addRampedUpEndpoint(2);
        step(new PolicyInput.Submit(request(1, "a", Rank.BULK)));
        step(new PolicyInput.Submit(request(2, "a", Rank.BULK)));
        advance(2_000);
        assertThat(stepAndExchangeGrants(new PolicyInput.Submit(request(3, "b", Rank.URGENT))))
                .contains(new PolicyEffect.Suspend(1));
        assertThat(startedTickets(stepAndExchangeGrants(new PolicyInput.Suspended(1, 20))))
                .containsExactly(3L);
        assertThat(
                        startedTickets(
                                stepAndExchangeGrants(
                                        new PolicyInput.Finished(3, Outcome.DONE, 10))))
                .containsExactly(1L);
    }

    @Test
    void doesNotSuspendBelowBulkFloor() {
        addRampedUpEndpoint(1);
        step(new PolicyInput.Submit(request(1, "a", Rank.BULK)));
        advance(2_000);
        assertThat(stepAndExchangeGrants(new PolicyInput.Submit(request(2, "b", Rank.URGENT))))
                .doesNotContain(new PolicyEffect.Suspend(1));
    }

    @Test
    void refusesRequestAfterItsDeadline() {
        addRampedUpEndpoint(1);
        step(new PolicyInput.Submit(request(1, "a", Rank.URGENT)));
        step(new PolicyInput.Submit(request(2, "a", Rank.URGENT)));
        assertThat(refusalOf(advance(4_500), 2)).isEqualTo(ResultCode.NOT_RUN_DEADLINE);
    }

    @Test
    void sendsNoRequestToFailedEndpointDuringCooldown() {
        addRampedUpEndpoint(4);
        step(new PolicyInput.Submit(request(1, "a", Rank.URGENT)));
        step(new PolicyInput.Finished(1, Outcome.ENDPOINT_FAILED, 0));
        assertThat(startedTickets(step(new PolicyInput.Submit(request(2, "a", Rank.URGENT)))))
                .isEmpty();
        assertThat(startedTickets(advance(1_500))).containsExactly(2L);
    }

    private void addRampedUpEndpoint(int slots) {
        step(new PolicyInput.EndpointUp(engine("e1", slots)));
        advance(5_000);
    }

    private List<PolicyEffect> step(PolicyInput input) {
        return dispatcher.step(nowMillis, input);
    }

    /** Performs a step, then 20 ms of ticks for claims and grants to take effect. */
    private List<PolicyEffect> stepAndExchangeGrants(PolicyInput input) {
        List<PolicyEffect> effects = new ArrayList<>(step(input));
        effects.addAll(advance(20));
        return effects;
    }

    private List<PolicyEffect> advance(long millis) {
        List<PolicyEffect> effects = new ArrayList<>();
        for (long endMillis = nowMillis + millis;
                nowMillis < endMillis;
                nowMillis += Dispatcher.TICK_MILLIS) {
            effects.addAll(step(new PolicyInput.Tick()));
        }
        return effects;
    }

    private static List<Long> startedTickets(List<PolicyEffect> effects) {
        return effects.stream()
                .filter(e -> e instanceof PolicyEffect.Start)
                .map(e -> ((PolicyEffect.Start) e).ticket())
                .toList();
    }

    private static ResultCode refusalOf(List<PolicyEffect> effects, long ticket) {
        return effects.stream()
                .filter(e -> e instanceof PolicyEffect.Refuse r && r.ticket() == ticket)
                .map(e -> ((PolicyEffect.Refuse) e).failure().code())
                .findFirst()
                .orElse(null);
    }
}
