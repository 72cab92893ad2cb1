package io.siskintrail.router.internal.endpoint;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.router.Stutter;
import io.siskintrail.router.StutteringEndpoint;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What an engine sees of an attempt that is cancelled, over real sockets. */
@Timeout(60)
class CancelledAttemptTest {
    private static final Duration ANSWER = Duration.ofSeconds(5);
    private static final int POLLS = 200;
    private static final long POLL_MILLIS = 10;
    private static final String DATA =
            "data: {\"offset\":0,\"token_ids\":[1],\"text\":\"a\",\"finish_reason\":null}\n\n";

    @Test
    void cancelledAttemptClosesItsConnection() throws Exception {
        Stutter once = new Stutter(200, 200, Stutter.Moment.NEXT, Stutter.Form.WHOLE, 200);
        try (StutteringEndpoint engine = new StutteringEndpoint(once, (s, label) -> unended());
                EngineClient engines = new EngineClient()) {
            engines.run(engine.address(), call()).blockFirst(ANSWER);
            for (int i = 0; i < POLLS && engine.openConnections() > 0; i++) {
                Thread.sleep(POLL_MILLIS);
            }
            assertThat(engine.openConnections()).isEqualTo(0);
        }
    }

    private static EngineCall call() {
        ModelId model = new ModelId("quoting", "", "v1");
        return new EngineCall("g.1.1", model, "Assess.", 7, 9, Rank.URGENT, List.of());
    }

    private static byte[] unended() {
        String head =
                StutteringEndpoint.head(
                        200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked");
        String chunk = Integer.toHexString(DATA.length()) + "\r\n" + DATA + "\r\n";
        return (head + chunk).getBytes(StandardCharsets.ISO_8859_1);
    }
}
