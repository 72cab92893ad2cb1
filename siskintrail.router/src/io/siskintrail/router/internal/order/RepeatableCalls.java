package io.siskintrail.router.internal.order;

import io.siskintrail.internal.ledger.StoredAnswer;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Forwards calls that may be repeated, and tries another endpoint when one cannot be reached, does
 * not answer in time or answers that it is unavailable. Safe for use by several threads.
 */
final class RepeatableCalls implements AutoCloseable {
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_ATTEMPTS = 3;
    private static final Set<Integer> RETRIED_STATUSES = Set.of(502, 503, 504);

    private final EndpointDirectory directory;
    private final ServiceClient client = new ServiceClient(ANSWER_TIMEOUT);
    private final AtomicInteger turn = new AtomicInteger();

    RepeatableCalls(EndpointDirectory directory) {
        this.directory = directory;
    }

    /** Forwards {@code call}; the stage never fails. */
    CompletionStage<Result<StoredAnswer>> forward(ServiceCall call) {
        return attempt(call, new HashSet<>());
    }

    @Override
    public void close() {
        client.close();
    }

    private CompletionStage<Result<StoredAnswer>> attempt(ServiceCall call, Set<EndpointId> tried) {
        List<EndpointInfo> left =
                directory.live(call.service()).stream()
                        .filter(e -> !tried.contains(e.id()))
                        .toList();
        if (left.isEmpty()) {
            return CompletableFuture.completedFuture(
                    Result.err(
                            ResultCode.NO_ENDPOINT,
                            "no endpoint of %s is left after %d attempts"
                                    .formatted(call.service(), tried.size())));
        }
        EndpointInfo next = left.get(Math.floorMod(turn.getAndIncrement(), left.size()));
        tried.add(next.id());
        return client.send(next.address(), call).thenCompose(r -> judge(call, tried, r));
    }

    private CompletionStage<Result<StoredAnswer>> judge(
            ServiceCall call, Set<EndpointId> tried, CallResult result) {
        boolean last = tried.size() >= MAX_ATTEMPTS;
        if (result instanceof CallResult.Answered a) {
            if (last || !RETRIED_STATUSES.contains(a.answer().status())) {
                return CompletableFuture.completedFuture(Result.ok(a.answer()));
            }
        }
        if (last) {
            return CompletableFuture.completedFuture(
                    Result.err(
                            ResultCode.SERVICE_UNAVAILABLE,
                            "%d endpoints of %s gave no answer"
                                    .formatted(tried.size(), call.service())));
        }
        return attempt(call, tried);
    }
}
