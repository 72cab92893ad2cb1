package io.siskintrail.router;

import static com.google.common.truth.Truth.assertThat;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import com.openai.models.completions.Completion;
import com.openai.models.completions.CompletionCreateParams;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Points a stock client library of the OpenAI API at a router. */
@Timeout(60)
class OpenAiClientTest {
    private static final int TOKENS = 30;
    private static final long SEED = 3;
    private static final String CHAT_PROMPT = "user: two chairs\n";

    private static RouterFixture fixture;
    private static OpenAIClient client;

    @BeforeAll
    static void start() throws Exception {
        fixture = new RouterFixture(2);
        client =
                OpenAIOkHttpClient.builder()
                        .baseUrl("http://" + fixture.address() + "/v1")
                        .apiKey(RouterFixture.API_KEY)
                        .maxRetries(0)
                        .timeout(Duration.ofSeconds(30))
                        .build();
    }

    @AfterAll
    static void stop() {
        client.close();
        fixture.close();
    }

    @Test
    void wholeCompletionIsRead() {
        Completion completion = client.completions().create(completion());
        assertThat(completion.choices().get(0).text())
                .isEqualTo(RouterFixture.expectedText("two chairs", SEED, TOKENS));
        assertThat(completion.usage().get().completionTokens()).isEqualTo(TOKENS);
    }

    @Test
    void streamedCompletionIsRead() {
        StringBuilder text = new StringBuilder();
        try (StreamResponse<Completion> stream =
                client.completions().createStreaming(completion())) {
            stream.stream().forEach(c -> text.append(c.choices().get(0).text()));
        }
        assertThat(text.toString())
                .isEqualTo(RouterFixture.expectedText("two chairs", SEED, TOKENS));
    }

    @Test
    void wholeChatCompletionIsRead() {
        ChatCompletion chat = client.chat().completions().create(chat());
        assertThat(chat.choices().get(0).message().content())
                .hasValue(RouterFixture.expectedText(CHAT_PROMPT, SEED, TOKENS));
    }

    @Test
    void streamedChatCompletionIsRead() {
        StringBuilder text = new StringBuilder();
        try (StreamResponse<ChatCompletionChunk> stream =
                client.chat().completions().createStreaming(chat())) {
            stream.stream()
                    .flatMap(c -> c.choices().stream())
                    .forEach(c -> c.delta().content().ifPresent(text::append));
        }
        assertThat(text.toString())
                .isEqualTo(RouterFixture.expectedText(CHAT_PROMPT, SEED, TOKENS));
    }

    @Test
    void modelsAreListed() {
        assertThat(client.models().list().data().get(0).id()).isEqualTo("quoting");
    }

    @Test
    void streamIsNotCompressedForClientsThatAllowIt() throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + fixture.address() + "/v1/completions"))
                        .header("Accept-Encoding", "gzip")
                        .header("Authorization", "Bearer " + RouterFixture.API_KEY)
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        "{\"model\":\"quoting\",\"prompt\":\"a\",\"max_tokens\":5,"
                                                + "\"stream\":true}"))
                        .build();
        HttpResponse<String> response =
                HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(response.headers().firstValue("content-encoding")).isEqualTo(Optional.empty());
        assertThat(response.body()).contains("[DONE]");
    }

    private static CompletionCreateParams completion() {
        return CompletionCreateParams.builder()
                .model("quoting")
                .prompt("two chairs")
                .seed(SEED)
                .maxTokens(TOKENS)
                .build();
    }

    private static ChatCompletionCreateParams chat() {
        return ChatCompletionCreateParams.builder()
                .model("quoting")
                .addUserMessage("two chairs")
                .seed(SEED)
                .maxCompletionTokens(TOKENS)
                .build();
    }
}
