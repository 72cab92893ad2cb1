package io.siskintrail.registry.internal;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.rollout.RolloutOrder;
import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.EventLoop;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Orders of rollouts at three registries. */
@Timeout(60)
class RolloutOrdersTest {
    private static final String SERVICE = LoopbackRegistries.SERVICE.value();
    private static final String ORDER = "v2 12000";
    private static final String RUNNING = "{\"RUNNING\":\"v2\"}";

    /** Time for an election, or for a start on existing disks. */
    private static final long RECOVERY_MILLIS = 8_000;

    @TempDir Path folder;
    private LoopbackRegistries registries;

    @BeforeEach
    void start() throws Exception {
        registries = new LoopbackRegistries(folder);
        startAll();
        registries.awaitAcknowledgement();
    }

    @AfterEach
    void stop() {
        registries.stop(() -> {});
    }

    /** Guards against an acknowledged order that only the registry which took it holds. */
    @Test
    void acknowledgedOrderIsReadEverywhereAndAfterARestart() throws Exception {
        awaitOrder(0);
        for (int i = 0; i < LoopbackRegistries.COUNT; i++) {
            awaitRollout(i);
        }

        for (int i = LoopbackRegistries.COUNT - 1; i >= 0; i--) {
            registries.kill(i);
        }
        startAll();

        for (int i = 0; i < LoopbackRegistries.COUNT; i++) {
            awaitRollout(i);
            assertThat(registries.order(i, SERVICE, ORDER).statusCode()).isEqualTo(200);
        }
    }

    /** Guards against an order that is lost with one registry, whichever led. */
    @Test
    void acknowledgedOrderIsReadAfterTheEndOfALeader() throws Exception {
        int leader = registries.leader();
        awaitOrder(leader);

        registries.kill(leader);

        for (int i = 0; i < LoopbackRegistries.COUNT; i++) {
            if (i != leader) {
                awaitRollout(i);
            }
        }
    }

    /** Guards against a snapshot that loses the rollouts of the entries that it replaces. */
    @Test
    void orderSurvivesSnapshotsAndARestart() throws Exception {
        awaitOrder(1);
        registries.sendChanges(3_000);

        registries.stop(() -> {});
        startAll();

        for (int i = 0; i < LoopbackRegistries.COUNT; i++) {
            awaitRollout(i);
        }
        registries.awaitAcknowledgement();
        registries.awaitRead(0);
    }

    @Test
    void repeatedOrderIsAcceptedAndAnotherIsRefused() throws Exception {
        awaitOrder(0);

        for (int i = 0; i < LoopbackRegistries.COUNT; i++) {
            awaitRollout(i);
            assertThat(registries.order(i, SERVICE, ORDER).statusCode()).isEqualTo(200);
            assertFailed(registries.order(i, SERVICE, "v3 12000"), ResultCode.ROLLOUT_CONFLICT);
        }
        assertThat(registries.rollout(0, SERVICE).body()).isEqualTo(RUNNING);
    }

    /** Guards against an end that is lost, told twice, or undone by the same order. */
    @Test
    void endOfARolloutIsFinalAndAnotherOrderStartsTheNext() throws Exception {
        awaitOrder(0);
        RolloutOrder order =
                new RolloutOrder(LoopbackRegistries.SERVICE, new EndpointVersion("v2"), 12_000);
        RolloutRecord rollout = new RolloutRecord(order, 1, 0, RolloutRecord.Status.RUNNING);
        assertThat(registries.endRollout(1, rollout, RolloutRecord.Status.ROLLED_BACK)).isTrue();
        assertThat(registries.endRollout(2, rollout, RolloutRecord.Status.ROLLED_BACK)).isTrue();
        assertThat(registries.endRollout(0, rollout, RolloutRecord.Status.COMPLETED)).isFalse();

        registries.stop(() -> {});
        startAll();

        await(() -> registries.order(0, SERVICE, ORDER).statusCode() == 200);
        await(() -> registries.rollout(0, SERVICE).body().equals("{\"ROLLED_BACK\":\"v2\"}"));
        await(() -> registries.order(1, SERVICE, "v3 12000").statusCode() == 200);
        await(() -> registries.rollout(0, SERVICE).body().equals("{\"RUNNING\":\"v3\"}"));
        assertThat(registries.endRollout(2, rollout, RolloutRecord.Status.ROLLED_BACK)).isFalse();
    }

    @Test
    void unknownServiceIsRefused() throws Exception {
        HttpResponse<String> response = registries.order(0, "other", ORDER);

        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(response.body()).contains("the configuration has no service other");
        assertFailed(registries.rollout(0, "other"), ResultCode.ROLLOUT_UNKNOWN);
        assertFailed(registries.rollout(0, SERVICE), ResultCode.ROLLOUT_UNKNOWN);
    }

    /** Guards against state that may be outdated, and against an order that is not durable. */
    @Test
    void registryWithoutAQuorumConfirmsNothingNew() throws Exception {
        awaitOrder(2);
        awaitRollout(0);

        registries.kill(2);
        registries.kill(1);

        assertFailed(registries.rollout(0, SERVICE), ResultCode.ROLLOUT_UNCONFIRMED);
        assertFailed(registries.order(0, SERVICE, "v3 1"), ResultCode.ROLLOUT_UNCONFIRMED);
        assertThat(registries.order(0, SERVICE, ORDER).statusCode()).isEqualTo(200);
    }

    /** Guards against a repetition that is proposed beside the order while it is committed. */
    @Test
    void sameOrderIsPendingWhileItIsCommitted() throws Exception {
        registries.kill(2);
        registries.kill(1);

        ExecutorService callers = Executors.newFixedThreadPool(4);
        Callable<HttpResponse<String>> call = () -> registries.order(0, SERVICE, ORDER);
        List<Integer> statuses = new ArrayList<>();
        for (var response : callers.invokeAll(Collections.nCopies(4, call))) {
            statuses.add(response.get().statusCode());
        }
        callers.shutdown();

        assertThat(statuses).containsAtLeast(409, 503);
        assertThat(statuses).doesNotContain(200);
    }

    private void startAll() {
        for (int i = 0; i < LoopbackRegistries.COUNT; i++) {
            registries.start(i, UnaryOperator.identity());
        }
    }

    private static void assertFailed(HttpResponse<String> response, ResultCode code) {
        assertThat(response.statusCode()).isEqualTo(code.httpStatus());
        assertThat(response.body()).contains(code.meaning());
    }

    private void awaitOrder(int number) throws Exception {
        await(() -> registries.order(number, SERVICE, ORDER).statusCode() == 200);
    }

    private void awaitRollout(int number) throws Exception {
        await(() -> registries.rollout(number, SERVICE).body().equals(RUNNING));
    }

    /** Repeats a call until it succeeds; registries that elect refuse calls. */
    private static void await(Callable<Boolean> call) throws Exception {
        long end = EventLoop.nowMillis() + RECOVERY_MILLIS;
        while (!succeeds(call)) {
            assertThat(EventLoop.nowMillis()).isLessThan(end);
        }
    }

    private static boolean succeeds(Callable<Boolean> call) throws Exception {
        try {
            return call.call();
        } catch (IOException e) {
            return false;
        }
    }
}
