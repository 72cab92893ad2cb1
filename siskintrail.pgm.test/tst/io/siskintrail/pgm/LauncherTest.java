package io.siskintrail.pgm;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.control.ControlService;
import io.siskintrail.control.ControlSettings;
import io.siskintrail.service.OperatorTokens;
import io.siskintrail.testkit.FreePorts;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs commands against a control replica over HTTP. */
class LauncherTest {
    private static final String TOKEN = "token-of-huda";
    private static ControlService control;

    @TempDir Path folder;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @BeforeAll
    static void startControl() throws IOException {
        control =
                new ControlService(
                        new ControlSettings(
                                "control-1",
                                "marka",
                                "127.0.0.1:0",
                                FreePorts.address(),
                                "shared-key-of-the-test",
                                "",
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(
                                        new OperatorTokens.Operator(
                                                "huda", OperatorTokens.hashOf(TOKEN)))));
        control.start();
    }

    @AfterAll
    static void stopControl() {
        control.stop();
    }

    private int runAs(String token, String... args) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        Map<String, String> environment =
                Map.of(
                        "SISKINTRAIL_CONTROL",
                        "http://" + FreePorts.address() + ",http://" + control.httpAddress(),
                        "SISKINTRAIL_TOKEN",
                        token);
        return new Launcher(environment, new PrintWriter(out), new PrintWriter(err)).run(args);
    }

    private int run(String... args) {
        return runAs(TOKEN, args);
    }

    private String file(String text) throws IOException {
        return Files.writeString(Files.createTempFile(folder, "f", ".rules"), text).toString();
    }

    @ParameterizedTest
    @CsvSource({
        "rulez show, 2, 2001",
        "rules check, 2, 2001",
        "rules check a b, 2, 2001",
        "rules apply x, 2, 2001",
        "rules apply x --from y, 2, 2001",
        "rules check missing-file, 2, 2009",
        "rules show --control http://127.0.0.1:1, 5, 2010",
        "status --token-file missing-file, 2, 2009",
        "hosts remove nobody, 0, ''",
        "drain nobody, 3, 3018",
        "endpoints, 2, 2001",
        "endpoints --router http://127.0.0.1:1, 5, 2010",
        "waits, 2, 2001",
        "waits --router http://127.0.0.1:1, 5, 2010",
    })
    void saysWhatIsWrongWithTheCommand(String line, int status, String code) {
        assertThat(run(line.split(" "))).isEqualTo(status);
        assertThat(err.toString()).contains(code);
    }

    @Test
    void helpNamesTheUsageAndPurposeOfEveryCommand() {
        assertThat(run("--help")).isEqualTo(0);
        for (CommandSpec spec : CommandCatalog.ALL) {
            assertThat(out.toString()).contains(spec.usage());
            assertThat(out.toString()).contains(spec.purpose());
        }
    }

    @Test
    void refusesAnUnknownToken() {
        assertThat(runAs("wrong", "status")).isEqualTo(2);
        assertThat(err.toString()).contains("2008 UNKNOWN_OPERATOR_TOKEN");
    }

    @Test
    void checkNamesEveryErrorWithItsPlace() throws IOException {
        String file = file("weight 2 account=a # Huda\nweight 0 account=b\n");
        assertThat(run("rules", "check", file)).isEqualTo(3);
        assertThat(err.toString()).contains(file + ":2:8: 3007 RULE_OUT_OF_RANGE");
        assertThat(err.toString()).contains(file + ":2:19: 3001 RULE_WITHOUT_COMMENT");
    }

    @Test
    void editsAreAppliedShownAndKeptInTheHistory() throws IOException {
        String first = file("weight 2 account=a # Huda: large\n");
        assertThat(run("rules", "apply", first, "--from", "0")).isEqualTo(0);
        assertThat(run("rules", "apply", first, "--from", "0")).isEqualTo(0);
        assertThat(out.toString()).contains("rules 1");
        String second = file("weight 3 account=a # Huda: larger\n");
        assertThat(run("rules", "diff", second)).isEqualTo(0);
        assertThat(out.toString()).contains("+ weight 3 account=a # Huda: larger");
        assertThat(run("rules", "apply", second, "--from", "0")).isEqualTo(3);
        assertThat(err.toString()).contains("rules 1 were applied by huda");
        assertThat(err.toString()).contains("3013 RULES_NUMBER_TAKEN");
        assertThat(run("rules", "apply", second, "--from", "7")).isEqualTo(3);
        assertThat(run("rules", "show")).isEqualTo(0);
        assertThat(out.toString()).contains("weight 2 account=a");
        assertThat(run("rules", "history", "--json")).isEqualTo(0);
        assertThat(out.toString()).contains("\"operator\" : \"huda\"");
        assertThat(run("accounts")).isEqualTo(0);
        assertThat(out.toString()).containsMatch("a +2 +- +- +- +4000ms +60000ms +10%");
        assertThat(run("orders", "--state", "unknown")).isEqualTo(0);
        assertThat(run("status", "--json")).isEqualTo(0);
        assertThat(out.toString()).contains("\"rulesNumber\" : 1");
    }
}
