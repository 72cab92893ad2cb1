package io.siskintrail.platform;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers that quote a status line in a header, and second answers of which only a part comes. */
@Timeout(60)
class QuotedStatusLineTest {
    @TempDir static Path folder;
    private static AnswerBench bench;

    @BeforeAll
    static void start() throws Exception {
        bench = new AnswerBench(folder);
    }

    @AfterAll
    static void stop() throws IOException {
        bench.close();
    }

    /** Guards against a whole answer that is refused for the text of a header behind the ID. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/once/x"})
    void statusLineQuotedBehindTheIdIsPassedOn(String path) throws IOException {
        assertThat(sendQuoted(path, "X-Replica-Signature")).isEqualTo(200);
    }

    /** Guards against a whole answer that is refused for the text of a header before the ID. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/once/x"})
    void statusLineQuotedBeforeTheIdIsPassedOn(String path) throws IOException {
        assertThat(sendQuoted(path, "X-Request-Id")).isEqualTo(200);
    }

    /** Returns the status that the client gets if a quote stands before the field {@code next}. */
    private static int sendQuoted(String path, String next) throws IOException {
        bench.begin(
                (request, before, out) -> {
                    String answer =
                            new String(bench.answer(request, 200), StandardCharsets.US_ASCII);
                    String quote = "X-Upstream: HTTP/1.1 304 Not Modified\r\n";
                    out.write(Http.toBytes(answer.replace(next, quote + next)));
                    return true;
                });
        return bench.send(path, bench.newId()).status();
    }
}
