package io.siskintrail.internal.ledger;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LedgerStateTest {
    private static final LedgerLimits LIMITS = new LedgerLimits(2, 4, 6, 100, 1_000, 5_000);
    private static final EndpointId ENDPOINT = new EndpointId("depot-1");
    private static final ContentDigest DIGEST = new ContentDigest("00");

    private final LedgerState ledger = new LedgerState(LIMITS);
    private long index;

    @Test
    void recordIsKeptForItsRetentionAfterTheAnswer() {
        finish(0, "k", 1, "ok");
        assertThat(claim(2_999, "k", 2, 3_000)).isInstanceOf(LedgerAnswer.Done.class);
        assertThat(claim(3_000, "k", 3, 3_000)).isInstanceOf(LedgerAnswer.Claimed.class);
    }

    @Test
    void dispatchWithoutAnswerBecomesUnknownAndStaysSo() {
        claim(0, "k", 1, 3_000);
        dispatch(0, "k", 1, 1);
        assertThat(claim(499, "k", 2, 0)).isInstanceOf(LedgerAnswer.Running.class);
        assertThat(claim(500, "k", 2, 0)).isInstanceOf(LedgerAnswer.Unknown.class);
        assertThat(dispatch(501, "k", 1, 2)).isInstanceOf(LedgerAnswer.Refused.class);
        assertThat(release(501, "k", 1, 1)).isInstanceOf(LedgerAnswer.Refused.class);
        assertThat(claim(3_499, "k", 3, 0)).isInstanceOf(LedgerAnswer.Unknown.class);
    }

    @Test
    void unknownOutlivesAShortRetention() {
        claim(0, "k", 1, 10);
        dispatch(0, "k", 1, 1);
        assertThat(claim(1_499, "k", 2, 10)).isInstanceOf(LedgerAnswer.Unknown.class);
        assertThat(claim(1_500, "k", 2, 10)).isInstanceOf(LedgerAnswer.Claimed.class);
    }

    @Test
    void lateAnswerOfTheHolderReplacesUnknown() {
        claim(0, "k", 1, 3_000);
        dispatch(0, "k", 1, 1);
        assertThat(complete(600, "k", 1, "ok")).isInstanceOf(LedgerAnswer.Accepted.class);
        assertThat(claim(601, "k", 2, 0)).isInstanceOf(LedgerAnswer.Done.class);
    }

    @Test
    void claimThatLapsedDispatchesNothing() {
        claim(0, "k", 1, 3_000);
        assertThat(claim(100, "k", 2, 0)).isInstanceOf(LedgerAnswer.Claimed.class);
        assertThat(dispatch(101, "k", 1, 1)).isInstanceOf(LedgerAnswer.Refused.class);
    }

    @Test
    void releaseOfAnEarlierAttemptIsRefused() {
        claim(0, "k", 1, 3_000);
        dispatch(1, "k", 1, 1);
        dispatch(2, "k", 1, 2);
        assertThat(release(3, "k", 1, 1)).isInstanceOf(LedgerAnswer.Refused.class);
        assertThat(release(3, "k", 1, 2)).isInstanceOf(LedgerAnswer.Accepted.class);
    }

    @Test
    void settlingEndsOnlyEarlierStarts() {
        claim(0, "a", 1, 3_000);
        dispatch(0, "a", 1, 1);
        apply(1, new LedgerCommand.SettleHost(new HostId("h"), 7));
        assertThat(ledger.find(key("a")).state()).isEqualTo(OrderState.DISPATCHED);
        apply(2, new LedgerCommand.SettleHost(new HostId("h"), 8));
        assertThat(ledger.find(key("a")).state()).isEqualTo(OrderState.UNKNOWN);
    }

    @Test
    void fullLedgerRefusesNewOrdersAndKeepsOldOnes() {
        finish(0, "a", 1, "ok");
        finish(0, "b", 2, "ok");
        assertThat(claim(1, "c", 3, 0)).isInstanceOf(LedgerAnswer.Full.class);
        assertThat(claim(1, "a", 4, 0)).isInstanceOf(LedgerAnswer.Done.class);
        assertThat(claim(3_000, "c", 5, 0)).isInstanceOf(LedgerAnswer.Claimed.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "1234"})
    void answerWithinTheLimitIsKept(String body) {
        finish(0, "a", 1, body);
        assertThat(ledger.find(key("a")).answer().kept()).isTrue();
    }

    @Test
    void answerOverOneOfTheLimitsIsRecordedWithoutBody() {
        finish(0, "a", 1, "12345");
        finish(0, "b", 2, "1234");
        assertThat(ledger.find(key("a")).answer().kept()).isFalse();
        assertThat(ledger.answerBytes()).isEqualTo(4);
        finish(3_000, "a", 3, "123");
        assertThat(ledger.find(key("a")).answer().kept()).isTrue();
    }

    @Test
    void sameKeyWithOtherContentIsRefused() {
        finish(0, "k", 1, "ok");
        LedgerAnswer answer =
                apply(
                        1,
                        new LedgerCommand.Claim(
                                key("k"), claimId(2), new ContentDigest("11"), 3_000));
        assertThat(answer).isInstanceOf(LedgerAnswer.OtherContent.class);
    }

    @Test
    void derivedKeysDifferWhenAnyPartDiffers() {
        AccountId account = new AccountId("a");
        RequestKey key = ContentDigest.of(account, "POST", "/x", new byte[] {1}).derivedKey();
        assertThat(ContentDigest.of(account, "POST", "/x", new byte[] {1}).derivedKey())
                .isEqualTo(key);
        assertThat(ContentDigest.of(account, "POST", "/x", new byte[] {2}).derivedKey())
                .isNotEqualTo(key);
        assertThat(ContentDigest.of(account, "POSTX", "/", new byte[] {1}).derivedKey())
                .isNotEqualTo(key);
    }

    private void finish(long at, String key, long claim, String body) {
        claim(at, key, claim, 3_000);
        dispatch(at, key, claim, 1);
        complete(at, key, claim, body);
    }

    private LedgerAnswer claim(long at, String key, long claim, long retention) {
        return apply(at, new LedgerCommand.Claim(key(key), claimId(claim), DIGEST, retention));
    }

    private LedgerAnswer dispatch(long at, String key, long claim, int attempt) {
        return apply(
                at, new LedgerCommand.Dispatch(key(key), claimId(claim), ENDPOINT, attempt, 500));
    }

    private LedgerAnswer complete(long at, String key, long claim, String body) {
        StoredAnswer answer = StoredAnswer.of(200, "text/plain", body.getBytes());
        return apply(at, new LedgerCommand.Complete(key(key), claimId(claim), 1, answer));
    }

    private LedgerAnswer release(long at, String key, long claim, int attempt) {
        return apply(at, new LedgerCommand.Release(key(key), claimId(claim), attempt));
    }

    private LedgerAnswer apply(long at, LedgerCommand command) {
        return ledger.apply(new LogPosition(1, ++index), at, command);
    }

    private static ClaimId claimId(long number) {
        return new ClaimId(new HostId("h"), 7, number);
    }

    private static OrderKey key(String key) {
        return new OrderKey(new ServiceName("orders"), new AccountId("a"), new RequestKey(key));
    }
}
