package io.siskintrail.router.internal.order;

import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.siskintrail.internal.ledger.StoredAnswer;
import io.siskintrail.router.internal.client.EndpointClients;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import reactor.core.publisher.Mono;

/**
 * Sends single calls to plain services, each once and over a connection of its own, so that a
 * connection that cannot be established tells that nothing was sent. Safe for use by several
 * threads.
 */
final class ServiceClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_ANSWER_BYTES = 32 << 20;
    private static final byte[] NONE = {};
    private static final Argument<byte[]> BYTES = Argument.of(byte[].class);

    private final HttpClient client;

    /**
     * Opens a client.
     *
     * @param answerTimeout how long the whole answer may take
     */
    ServiceClient(Duration answerTimeout) {
        DefaultHttpClientConfiguration config = new DefaultHttpClientConfiguration();
        config.setConnectTimeout(CONNECT_TIMEOUT);
        config.setReadTimeout(answerTimeout);
        config.setMaxContentLength(MAX_ANSWER_BYTES);
        config.setExceptionOnErrorStatus(false);
        config.setFollowRedirects(false);
        client = EndpointClients.create(config);
    }

    /** Sends {@code call} to {@code address}; the stage never fails. */
    CompletionStage<CallResult> send(String address, ServiceCall call) {
        try {
            return Mono.from(client.exchange(request(address, call), BYTES, BYTES))
                    .map(ServiceClient::answered)
                    .onErrorResume(e -> Mono.just(failed(e)))
                    .defaultIfEmpty(new CallResult.Broken("the endpoint sent no answer"))
                    .toFuture();
        } catch (RuntimeException e) {
            return CompletableFuture.completedFuture(new CallResult.NotConnected(e.toString()));
        }
    }

    @Override
    public void close() {
        client.close();
    }

    private static HttpRequest<?> request(String address, ServiceCall call) {
        String uri = "http://" + address + call.path() + call.query();
        MutableHttpRequest<byte[]> request =
                HttpRequest.create(HttpMethod.parse(call.method()), uri, call.method());
        call.headers().forEach(request::header);
        if (call.body().length > 0) {
            request.body(call.body());
        }
        return request;
    }

    private static CallResult answered(HttpResponse<byte[]> response) {
        return new CallResult.Answered(
                StoredAnswer.of(
                        response.code(),
                        response.getContentType().map(Object::toString).orElse(""),
                        response.getBody().orElse(NONE)));
    }

    /** Takes only a failed connect for proof that nothing was sent. */
    private static CallResult failed(Throwable error) {
        for (Throwable e = error; e != null; e = e.getCause()) {
            if (e instanceof ConnectException) {
                return new CallResult.NotConnected(e.getMessage());
            }
        }
        return new CallResult.Broken(String.valueOf(error.getMessage()));
    }
}
