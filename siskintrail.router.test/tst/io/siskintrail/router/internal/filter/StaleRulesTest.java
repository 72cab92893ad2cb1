package io.siskintrail.router.internal.filter;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.generation.Position;
import io.siskintrail.internal.rules.Rules;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.RequestKey;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.rules.Readiness;
import io.siskintrail.router.internal.rules.RulesView;
import io.siskintrail.router.internal.stream.AnswerStream;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StaleRulesTest {
    private static final ResultCode PASSED = ResultCode.OK;

    /** A request that an earlier sending may have run must never be called "not run". */
    @ParameterizedTest
    @CsvSource({
        "false, , , NOT_RUN_RULES_STALE",
        "false, k, , RULES_STALE",
        "false, k, 5/1/1/g/r0, OK",
        "true, , , OK",
        "true, k, , OK",
    })
    void staleRouterSaysNotRunOnlyOfWhatIsSurelyNew(
            boolean current, String key, String after, ResultCode expected) {
        RequestContext request =
                new RequestContext(
                        null,
                        null,
                        key == null ? null : new RequestKey(key),
                        after == null ? null : Position.parse(after),
                        null,
                        null,
                        null);
        assertThat(answer(new CurrencyFilter(rules(current)), request)).isEqualTo(expected);
    }

    @Test
    void stoppingRouterIsNotReadyAlthoughItsRulesAreCurrent() {
        Readiness readiness = new Readiness(rules(true));
        assertThat(readiness.refusal().isEmpty()).isTrue();
        readiness.stop();
        assertThat(readiness.refusal().map(Failure::code).orElseThrow())
                .isEqualTo(ResultCode.NOT_RUN_SHUTTING_DOWN);
    }

    @Test
    void staleRouterIsNotReady() {
        assertThat(new Readiness(rules(false)).refusal().map(Failure::code).orElseThrow())
                .isEqualTo(ResultCode.NOT_RUN_RULES_STALE);
    }

    private static ResultCode answer(RequestFilter filter, RequestContext request) {
        Result<AnswerStream> passed = Result.err(PASSED, "passed on");
        Result<AnswerStream> result =
                filter.handle(request, r -> CompletableFuture.completedFuture(passed))
                        .toCompletableFuture()
                        .join();
        return ((Result.Err<AnswerStream>) result).failure().code();
    }

    private static RulesView rules(boolean current) {
        return new RulesView() {
            @Override
            public Rules rules() {
                return Rules.EMPTY;
            }

            @Override
            public boolean mayTakeWork() {
                return current;
            }
        };
    }
}
