package io.siskintrail.internal.traffic.placement;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.EndpointId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The index returns the endpoint of the latest prefill of a prompt, and evicts old entries. */
class PrefilledPromptsTest {
    private static final EndpointId FIRST_ENDPOINT = new EndpointId("e1");
    private static final EndpointId SECOND_ENDPOINT = new EndpointId("e2");
    private final PrefilledPrompts prompts = new PrefilledPrompts();

    @Test
    void endpointOfLatestPrefillIsReturned() {
        prompts.recordPrefill(new PrefilledPrompt(new PromptId("p"), FIRST_ENDPOINT), 1_000);
        prompts.recordPrefill(new PrefilledPrompt(new PromptId("p"), SECOND_ENDPOINT), 2_000);

        assertThat(prompts.findEndpoint(new PromptId("p"), 3_000)).isEqualTo(SECOND_ENDPOINT);
        assertThat(prompts.findEndpoint(new PromptId("q"), 3_000)).isNull();
        assertThat(prompts.findEndpoint(null, 3_000)).isNull();
    }

    @Test
    void entryExpires() {
        prompts.recordPrefill(new PrefilledPrompt(new PromptId("p"), FIRST_ENDPOINT), 1_000);

        assertThat(prompts.findEndpoint(new PromptId("p"), 15_000)).isEqualTo(FIRST_ENDPOINT);
        assertThat(prompts.findEndpoint(new PromptId("p"), 17_000)).isNull();
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, true", "64, true", "65, false", "16000, false"})
    void emptyOrTooLongIdIsRejected(int length, boolean accepted) {
        assertThat(PromptId.ofNullable("p".repeat(length)) != null).isEqualTo(accepted);
        assertThat(PromptId.ofNullable(null)).isNull();
    }

    @Test
    void oldestPromptsAreEvictedAtCapacity() {
        for (int i = 0; i < 20_000; i++) {
            prompts.recordPrefill(
                    new PrefilledPrompt(new PromptId("p" + i), FIRST_ENDPOINT), 1_000);
        }

        assertThat(prompts.findEndpoint(new PromptId("p0"), 1_000)).isNull();
        assertThat(prompts.findEndpoint(new PromptId("p19999"), 1_000)).isEqualTo(FIRST_ENDPOINT);
    }
}
