package io.siskintrail.control.internal.configuration;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ResultCode;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConfigurationServiceTest {
    private static final AccountId CLINIC = new AccountId("clinic");
    private final RulesDeployment deployment = new RulesDeployment(3);

    @AfterEach
    void close() {
        deployment.close();
    }

    private EditOutcome edit(long from, String text) throws Exception {
        return deployment
                .control()
                .edit(from, text, "huda")
                .toCompletableFuture()
                .get(30, TimeUnit.SECONDS);
    }

    @Test
    void anAcceptedEditIsInForceOnEveryRouter() throws Exception {
        assertThat(edit(0, "weight 7 account=clinic # Huda: clinics"))
                .isEqualTo(new EditOutcome.Accepted(1));
        for (int i = 1; i <= 3; i++) {
            var router = deployment.router(i);
            assertThat(
                            RulesDeployment.eventually(
                                    () ->
                                            router.mayTakeWork()
                                                    && router.rules().weight(CLINIC) == 7))
                    .isTrue();
        }
    }

    @Test
    void repeatsAndRacesGetTheirAnswers() throws Exception {
        String text = "weight 7 account=clinic # Huda: clinics";
        assertThat(edit(0, text)).isEqualTo(new EditOutcome.Accepted(1));
        assertThat(edit(0, text)).isEqualTo(new EditOutcome.Accepted(1));
        assertThat(edit(0, text + "!")).isInstanceOf(EditOutcome.NumberTaken.class);
        assertThat(edit(5, text)).isEqualTo(new EditOutcome.NumberUnknown(1));
        var invalid = (EditOutcome.Invalid) edit(1, "weight 7 account=clinic");
        assertThat(invalid.errors().get(0).code()).isEqualTo(ResultCode.RULE_WITHOUT_COMMENT);
    }

    @Test
    void routersServeOnWithoutALeaderAndARestartedOneWaitsForIt() throws Exception {
        assertThat(edit(0, "weight 7 account=clinic # Huda"))
                .isInstanceOf(EditOutcome.Accepted.class);
        HostId third = new HostId("router-3");
        assertThat(
                        RulesDeployment.eventually(
                                () ->
                                        deployment.router(1).mayTakeWork()
                                                && deployment.router(2).mayTakeWork()
                                                && deployment.router(3).mayTakeWork()))
                .isTrue();
        deployment.lead(false);
        deployment.stopRouter(third);
        deployment.startRouter(third);
        Thread.sleep(3_000);
        assertThat(
                        RulesDeployment.eventually(
                                () ->
                                        deployment.router(1).mayTakeWork()
                                                && deployment.router(2).mayTakeWork()))
                .isTrue();
        assertThat(deployment.router(3).mayTakeWork()).isFalse();
        deployment.lead(true);
        assertThat(RulesDeployment.eventually(() -> deployment.router(3).mayTakeWork())).isTrue();
        assertThat(deployment.router(3).rules().weight(CLINIC)).isEqualTo(7);
    }
}
