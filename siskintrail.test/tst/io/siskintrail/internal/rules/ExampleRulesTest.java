package io.siskintrail.internal.rules;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ServiceName;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the example rules files in docs/operations are valid and set the expected ranks,
 * weights, at-most-once calls and replicas.
 */
class ExampleRulesTest {

    private static Rules loadExample(String fileName) throws IOException {
        Path file = Path.of(System.getProperty("siskintrail.root"), "docs", "operations", fileName);
        RulesCheck outcome = RulesParser.parse(Files.readString(file));
        assertThat(outcome).isInstanceOf(RulesCheck.Accepted.class);
        return ((RulesCheck.Accepted) outcome).rules();
    }

    @ParameterizedTest
    @CsvSource({
        "amman.rules, clinics, quoting, URGENT, 4",
        "amman.rules, schools, quoting, BULK, 2",
        "amman.rules, ministry-health, quoting, URGENT, 1",
        "reykjanes.rules, fishing-keflavik, audit, URGENT, 4",
        "reykjanes.rules, corner-shop, audit, BULK, 1",
    })
    void setsRankAndWeightOfAccounts(
            String file, String account, String model, Rank rank, int weight) throws IOException {
        Rules rules = loadExample(file);
        assertThat(rules.rank(new AccountId(account), model)).isEqualTo(rank);
        assertThat(rules.weight(new AccountId(account))).isEqualTo(weight);
    }

    @ParameterizedTest
    @CsvSource({
        "amman.rules, depot, /work-orders/new, 13",
        "reykjanes.rules, refill, /orders, 25",
    })
    void allowsPostAtMostOnceAndPlacesAllReplicas(
            String file, String service, String path, int replicas) throws IOException {
        Rules rules = loadExample(file);
        ServiceName serviceName = new ServiceName(service);
        assertThat(rules.findAtMostOnceRule(serviceName, "POST", path)).isPresent();
        assertThat(rules.findAtMostOnceRule(serviceName, "GET", path)).isEmpty();
        assertThat(rules.placements().stream().mapToInt(Rule.PlacementRule::replicas).sum())
                .isEqualTo(replicas);
    }

    @Test
    void everyRuleNamesThePersonWhoRequestedIt() throws IOException {
        for (Rule rule : loadExample("amman.rules").allRules()) {
            // A given name and a surname.
            assertThat(rule.source().requestedBy()).containsMatch("[A-Z][a-z]+ [A-Z][a-z]+");
        }
    }
}
