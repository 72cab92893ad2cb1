package io.siskintrail.internal.ledger;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.ServiceName;
import java.util.List;
import org.junit.jupiter.api.Test;

class OrderFlowTest {
    private static final OrderKey KEY =
            new OrderKey(new ServiceName("orders"), new AccountId("a"), new RequestKey("k"));

    private final OrderFlow flow = new OrderFlow(new HostId("h"), 1, LedgerWorld::pick);

    @Test
    void requestThatJoinsAfterTheGrantIsNotToldNotRun() {
        long claim = proposal(submit(0, 1, 1_000));
        flow.step(1, new OrderInput.LedgerReplied(claim, new LedgerAnswer.Claimed()));
        submit(2, 2, 998);
        List<OrderEffect> effects = flow.step(1_000, new OrderInput.Tick());
        assertThat(effects)
                .containsAtLeast(
                        new OrderEffect.Tell(
                                1, new OrderOutcome.NotRun(ResultCode.ORDER_NOT_STARTED)),
                        new OrderEffect.Tell(2, new OrderOutcome.Unavailable()));
    }

    @Test
    void dispatchThatCommitsAfterTheCallerLeftIsNotCalled() {
        long claim = proposal(submit(0, 1, 1_000));
        long dispatch =
                proposal(
                        flow.step(
                                1,
                                new OrderInput.LedgerReplied(claim, new LedgerAnswer.Claimed())));
        List<OrderEffect> effects =
                flow.step(
                        1_000,
                        new OrderInput.LedgerReplied(dispatch, new LedgerAnswer.Dispatched(1)));
        assertThat(effects.stream().anyMatch(e -> e instanceof OrderEffect.Call)).isFalse();
    }

    private List<OrderEffect> submit(long at, long request, long wait) {
        return flow.step(
                at,
                new OrderInput.Submit(
                        request, KEY, new ContentDigest("00"), new OrderTerms(0, 500), wait));
    }

    private static long proposal(List<OrderEffect> effects) {
        return effects.stream()
                .filter(e -> e instanceof OrderEffect.Propose)
                .mapToLong(e -> ((OrderEffect.Propose) e).proposal())
                .findFirst()
                .orElseThrow();
    }
}
