package io.siskintrail.internal.rules;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ServiceName;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RulesParserTest {
    private static final AccountId CLINIC = new AccountId("clinic");
    private static final AccountId SCHOOL = new AccountId("school");

    private static Rules parseValid(String... lines) {
        RulesCheck outcome = RulesParser.parse(String.join("\n", lines));
        assertThat(outcome).isInstanceOf(RulesCheck.Accepted.class);
        return ((RulesCheck.Accepted) outcome).rules();
    }

    private static List<RuleError> parseErrors(String text) {
        RulesCheck outcome = RulesParser.parse(text);
        assertThat(outcome).isInstanceOf(RulesCheck.Refused.class);
        return ((RulesCheck.Refused) outcome).errors();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "rank urgent account=a                    | 1:22 | RULE_WITHOUT_COMMENT",
                "rank urgent account=a #                  | 1:23 | RULE_WITHOUT_COMMENT",
                "rank urgent account=a # : why            | 1:23 | RULE_WITHOUT_COMMENT",
                "rnak urgent # Huda                       | 1:1  | RULE_UNKNOWN_KIND",
                "rank urgent acount=a # Huda              | 1:13 | RULE_UNKNOWN_KEY",
                "rank # Huda                              | 1:1  | RULE_MISSING_KEY",
                "limit account=a # Huda                   | 1:1  | RULE_MISSING_KEY",
                "rank urgent account=a account=b # Huda   | 1:23 | RULE_REPEATED_KEY",
                "rank urgent account= # Huda              | 1:13 | RULE_BAD_VALUE",
                "rank soon account=a # Huda               | 1:6  | RULE_BAD_VALUE",
                "floor bulk 15 # Huda                     | 1:12 | RULE_BAD_VALUE",
                "floor bulk 101% # Huda                   | 1:12 | RULE_OUT_OF_RANGE",
                "weight 0 account=a # Huda                | 1:8  | RULE_OUT_OF_RANGE",
                "limit requests=0/s # Huda                | 1:16 | RULE_OUT_OF_RANGE",
                "limit queue-time=2d # Huda               | 1:18 | RULE_OUT_OF_RANGE",
                "limit rank=bulk tokens=9/s # Huda        | 1:12 | RULE_CONFLICT",
                "rank urgent now # Huda                   | 1:13 | RULE_UNEXPECTED_WORD",
                "rank urgent model=m service=s # Huda     | 1:29 | RULE_CONFLICT",
                "floor urgent 95% # Huda                  | 1:1  | RULE_CONFLICT",
                "place model=m+a version=1 replicas=2 # H | 1:13 | RULE_BAD_VALUE",
                "at-most-once service=s method=POST path=/a key=digest # H"
                        + "| 1:48 | RULE_MISSING_KEY",
                "at-most-once service=s method=POST path=/a*b key=digest window=1m # H | 1:41"
                        + " | RULE_BAD_VALUE",
                "at-most-once service=s method=POST path=/a key=digest window=1d retention=1h # H"
                        + " | 1:62 | RULE_CONFLICT",
            })
    void reportsPositionAndCodeOfAnError(String line, String position, String code) {
        RuleError error = parseErrors(line).get(0);
        assertThat(error.line() + ":" + error.column()).isEqualTo(position);
        assertThat(error.code().name()).isEqualTo(code);
    }

    @Test
    void reportsEveryErrorInOrder() {
        List<RuleError> errors =
                parseErrors(
                        """
                        # Amman
                        rank urgent account=a # Huda: clinics wait in person
                        rank bulk   account=a # Omar: the same account again

                        limit account=b requests=many tokens=-1/s colour=blue
                        """);
        assertThat(errors.stream().map(error -> error.line() + " " + error.code()).toList())
                .containsExactly(
                        "3 RULE_DUPLICATE",
                        "5 RULE_BAD_VALUE",
                        "5 RULE_BAD_VALUE",
                        "5 RULE_UNKNOWN_KEY",
                        "5 RULE_WITHOUT_COMMENT")
                .inOrder();
        assertThat(errors.get(0).detail()).contains("line 2");
    }

    @Test
    void keepsRequesterAndReason() {
        SourceLine source =
                parseValid("weight  3 account=a  # Huda (intake): large")
                        .allRules()
                        .get(0)
                        .source();
        assertThat(source)
                .isEqualTo(new SourceLine(1, "weight 3 account=a", "Huda (intake)", "large"));
    }

    @Test
    void refusesControlCharactersAndOversizedFiles() {
        assertThat(parseErrors("rank urgent # Hu\u0000da").get(0).column()).isEqualTo(17);
        String oversizedText = "#".repeat(RulesParser.MAX_CHARACTERS + 1);
        assertThat(parseErrors(oversizedText).get(0).code().number()).isEqualTo(3011);
    }

    @Test
    void prefersTheMoreSpecificRankRule() {
        Rules rules =
                parseValid(
                        "rank urgent model=quote # H",
                        "rank bulk account=school # H",
                        "rank urgent account=school model=draft # H",
                        "rank bulk service=stock # H");
        assertThat(rules.rank(CLINIC, "quote")).isEqualTo(Rank.URGENT);
        assertThat(rules.rank(SCHOOL, "quote")).isEqualTo(Rank.BULK);
        assertThat(rules.rank(SCHOOL, "draft")).isEqualTo(Rank.URGENT);
        assertThat(rules.rank(CLINIC, "other")).isEqualTo(Rank.BULK);
        assertThat(rules.rank(CLINIC, new ServiceName("stock"))).isEqualTo(Rank.BULK);
        assertThat(rules.rank(CLINIC, new ServiceName("refill"))).isEqualTo(Rank.URGENT);
    }

    @Test
    void completesAccountLimitsFromDefaultsInAnyOrder() {
        Rules rules =
                parseValid(
                        "limit account=clinic requests=120/m queue-time=2s # H",
                        "limit account=clinic rank=urgent queue-time=1s # H",
                        "limit in-flight=30 tokens=500/s # H",
                        "limit rank=bulk queue-time=5m # H");
        assertThat(rules.limits(CLINIC)).isEqualTo(new Limits(2, 500, 30));
        assertThat(rules.limits(SCHOOL)).isEqualTo(new Limits(Double.POSITIVE_INFINITY, 500, 30));
        assertThat(rules.queueMillis(CLINIC, Rank.BULK)).isEqualTo(2_000);
        assertThat(rules.queueMillis(SCHOOL, Rank.BULK)).isEqualTo(300_000);
        assertThat(rules.queueMillis(SCHOOL, Rank.URGENT)).isEqualTo(4_000);
    }

    @Test
    void findsTheMostSpecificAtMostOnceRule() {
        ServiceName refill = new ServiceName("refill");
        Rules rules =
                parseValid(
                        "at-most-once service=refill method=POST path=/* key=digest window=10m # H",
                        "at-most-once service=refill method=POST path=/orders"
                                + " key=header:Idempotency-Key retention=2d # H");
        assertThat(rules.findAtMostOnceRule(refill, "POST", "/orders").get().keyHeader())
                .hasValue("Idempotency-Key");
        assertThat(rules.findAtMostOnceRule(refill, "POST", "/orders/7").get().digestWindowMillis())
                .hasValue(600_000);
        assertThat(rules.findAtMostOnceRule(refill, "GET", "/orders")).isEmpty();
        assertThat(rules.findAtMostOnceRule(new ServiceName("depot"), "POST", "/orders")).isEmpty();
    }

    @Test
    void parsesPlacementsAndShares() {
        Rules rules =
                parseValid(
                        "place model=quote adapter=ar version=7 replicas=9 role=decode # H",
                        "recovery 30% # H",
                        "recovery 5% model=quote # H",
                        "retry 0% account=school # H",
                        "floor bulk 25% # H");
        assertThat(rules.placements().get(0).model().toString()).isEqualTo("quote+ar@7");
        assertThat(rules.placements().get(0).role()).isEqualTo(EngineRole.DECODE);
        assertThat(rules.recoveryShare("quote")).isEqualTo(0.05);
        assertThat(rules.recoveryShare("draft")).isEqualTo(0.3);
        assertThat(rules.retryShare(SCHOOL)).isEqualTo(0);
        assertThat(rules.retryShare(CLINIC)).isEqualTo(Rules.DEFAULT_RETRY_SHARE);
        assertThat(rules.floor(Rank.BULK)).isEqualTo(0.25);
    }
}
