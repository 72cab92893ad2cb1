package io.siskintrail.router;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.siskintrail.lib.ResultCode;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RefusedRequestTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static RouterFixture fixture;

    @BeforeAll
    static void start() throws Exception {
        fixture = new RouterFixture(1);
    }

    @AfterAll
    static void stop() {
        fixture.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "test-key | | BAD_JSON",
                "test-key | { | BAD_JSON",
                "test-key | [] | BAD_JSON",
                "test-key | {'prompt':'a'} | MISSING_FIELD",
                "test-key | {'model':'quoting'} | MISSING_FIELD",
                "test-key | {'model':'quoting','prompt':5} | MISSING_FIELD",
                "test-key | {'model':'quoting','prompt':'a','max_tokens':0} | BAD_JSON",
                "test-key | {'model':'quoting','prompt':'a','max_tokens':'x'} | BAD_JSON",
                "test-key | {'model':'quoting','prompt':'a','max_tokens':99999} | INPUT_TOO_LONG",
                "test-key | {'model':'none','prompt':'a'} | UNKNOWN_MODEL",
                "| {'model':'quoting','prompt':'a'} | MISSING_API_KEY",
                "wrong | {'model':'quoting','prompt':'a'} | UNKNOWN_API_KEY",
            })
    void requestIsRefusedWithItsCodeAndNothingRuns(String key, String body, ResultCode code)
            throws Exception {
        String json = body == null ? "" : body.replace('\'', '"');
        check(fixture.post("/v1/completions", key, json), code);
    }

    @ParameterizedTest
    @CsvSource({"2000, INPUT_TOO_LONG", "200000, INPUT_TOO_LONG"})
    void overlongPromptIsRefused(int chars, ResultCode code) throws Exception {
        String prompt = "x".repeat(chars);
        String body = "{\"model\":\"quoting\",\"prompt\":\"" + prompt + "\"}";
        check(fixture.post("/v1/completions", RouterFixture.API_KEY, body), code);
    }

    @ParameterizedTest
    @CsvSource({"/v1/nothing, NOT_FOUND"})
    void unknownPathIsRefused(String path, ResultCode code) throws Exception {
        check(fixture.post(path, RouterFixture.API_KEY, "{}"), code);
    }

    @ParameterizedTest
    @CsvSource({
        "/admin/status, , MISSING_OPERATOR_TOKEN",
        "/admin/endpoints, test-key, UNKNOWN_OPERATOR_TOKEN",
        "/admin/accounts, announce-token, UNKNOWN_OPERATOR_TOKEN",
    })
    void administrationIsForOperatorsOnly(String path, String token, ResultCode code)
            throws Exception {
        check(fixture.get(path, token), code);
        assertThat(fixture.get(path, RouterFixture.OPERATOR_TOKEN).statusCode()).isEqualTo(200);
    }

    private static void check(HttpResponse<String> response, ResultCode code) throws Exception {
        assertThat(response.statusCode()).isEqualTo(code.httpStatus());
        JsonNode error = MAPPER.readTree(response.body()).path("error");
        assertThat(error.path("number").asInt()).isEqualTo(code.number());
        assertThat(error.path("message").asText()).isNotEmpty();
        long started = fixture.engines().get(0).state().startedStreams();
        assertThat(started).isEqualTo(0);
    }
}
