package io.siskintrail.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.siskintrail.lib.ResultCode;
import java.net.MalformedURLException;
import java.net.URI;
import java.net.URL;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

/**
 * Speaks to the administration API of the control hosts. A call goes to the first host that
 * answers; calls may be repeated at the next one because every call of the API may be.
 */
final class AdminApi {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final List<String> controls;
    private final String token;

    /**
     * Takes whom to ask.
     *
     * @param controls base URLs of the control hosts
     * @param token the operator's token
     */
    AdminApi(List<String> controls, String token) {
        this.controls = List.copyOf(controls);
        this.token = token;
    }

    JsonNode get(String path) throws CommandException {
        return call(() -> HttpRequest.GET(path));
    }

    JsonNode post(String path, JsonNode body) throws CommandException {
        return call(() -> HttpRequest.POST(path, Json.format(body)));
    }

    JsonNode delete(String path) throws CommandException {
        return call(() -> HttpRequest.DELETE(path));
    }

    private JsonNode call(Supplier<MutableHttpRequest<?>> request) throws CommandException {
        CommandException last = null;
        for (String control : controls) {
            try {
                return callOne(control, request.get());
            } catch (CommandException e) {
                if (ExitStatus.of(e.code()) != ExitStatus.UNREACHABLE) {
                    throw e;
                }
                last = e;
            }
        }
        throw last;
    }

    private JsonNode callOne(String control, MutableHttpRequest<?> request)
            throws CommandException {
        request.bearerAuth(token);
        request.header("Content-Type", "application/json");
        try (HttpClient client = HttpClient.create(url(control), configuration())) {
            HttpResponse<String> response = client.toBlocking().exchange(request, String.class);
            return parse(control, response);
        } catch (HttpClientResponseException e) {
            throw CommandException.of(parse(control, e.getResponse()));
        } catch (HttpClientException e) {
            throw CommandException.of(
                    ResultCode.CONTROL_UNREACHABLE,
                    Messages.text("error.unreachable", control, e.getMessage()));
        }
    }

    private static DefaultHttpClientConfiguration configuration() {
        DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
        configuration.setReadTimeout(READ_TIMEOUT);
        configuration.setConnectTimeout(CONNECT_TIMEOUT);
        configuration.setMaxContentLength(64 << 20);
        return configuration;
    }

    /** Returns the refusal of a router, which has the form of its callers' API, in our form. */
    private static JsonNode refusalOfRouter(JsonNode error) {
        return Json.object()
                .put("code", error.path("number").asInt())
                .put("name", error.path("code").asText().toUpperCase(Locale.ROOT))
                .put("detail", error.path("message").asText());
    }

    private static URL url(String control) throws CommandException {
        try {
            return URI.create(control).toURL();
        } catch (IllegalArgumentException | MalformedURLException e) {
            throw CommandException.of(ResultCode.BAD_COMMAND_LINE, control + ": " + e.getMessage());
        }
    }

    private static JsonNode parse(String control, HttpResponse<?> response)
            throws CommandException {
        int status = response.code();
        String body = response.getBody(String.class).orElse("");
        try {
            JsonNode node = Json.parse(body);
            boolean refusal = status >= 300;
            if (!node.isMissingNode() && (!refusal || node.has("code"))) {
                return node;
            }
            if (node.path("error").has("number")) {
                return refusalOfRouter(node.path("error"));
            }
        } catch (JsonProcessingException ignored) {
            // Falls through to the same failure as a body of another form.
        }
        throw CommandException.of(
                ResultCode.BAD_ANSWER, Messages.text("error.answer", control, status));
    }
}
