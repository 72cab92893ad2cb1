package io.siskintrail.control;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.service.OperatorTokens;
import io.siskintrail.testkit.FreePorts;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Calls of operators that are open when a control replica is asked to stop. */
@Timeout(60)
class ControlServiceStopTest {
    private static final String TOKEN = "token-of-an-operator";
    private static final String EDIT = "{\"from\":0,\"text\":\"\"}";
    private static final long SENT_MILLIS = 1_000;
    private static final long ANSWER_MILLIS = 1_000;

    @TempDir private Path folder;

    /** Guards against an edit that waits for a quorum and is cut off by the stop. */
    @Test
    void editThatWaitsForAQuorumIsAnsweredWhenTheReplicaStops() throws Exception {
        ControlService service = new ControlService(settings());
        service.start();
        HttpRequest edit =
                HttpRequest.newBuilder(
                                URI.create("http://" + service.httpAddress() + "/admin/rules"))
                        .header("Authorization", "Bearer " + TOKEN)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(EDIT))
                        .build();
        CompletableFuture<HttpResponse<String>> answer =
                HttpClient.newHttpClient().sendAsync(edit, HttpResponse.BodyHandlers.ofString());
        TimeUnit.MILLISECONDS.sleep(SENT_MILLIS);
        assertThat(answer.isDone()).isFalse();

        service.stop();

        HttpResponse<String> answered = answer.get(ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(answered.statusCode()).isAnyOf(503, 504);
    }

    /** Returns the settings of one of three replicas of which the others never come. */
    private ControlSettings settings() {
        return new ControlSettings(
                "c1",
                "d",
                "127.0.0.1:0",
                FreePorts.address(),
                "shared-key",
                folder.toString(),
                List.of(
                        new ControlSettings.Peer("c2", "d", FreePorts.address()),
                        new ControlSettings.Peer("c3", "d", FreePorts.address())),
                List.of("c1", "c2", "c3"),
                List.of(),
                List.of(new OperatorTokens.Operator("o", OperatorTokens.hashOf(TOKEN))));
    }
}
