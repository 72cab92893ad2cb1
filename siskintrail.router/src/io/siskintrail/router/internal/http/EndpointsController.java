package io.siskintrail.router.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.Post;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.router.RouterSettings;
import io.siskintrail.router.internal.endpoint.Announcement;
import io.siskintrail.router.internal.membership.MembershipService;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Takes the announcements of endpoints. */
@Controller("/endpoints")
final class EndpointsController {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int RENEW_MILLIS = 500;

    private final MembershipService membership;
    private final byte[] expected;

    EndpointsController(MembershipService membership, RouterSettings settings) {
        this.membership = membership;
        this.expected = ("Bearer " + settings.announceToken()).getBytes(StandardCharsets.UTF_8);
    }

    @Post("/announce")
    CompletionStage<HttpResponse<?>> announce(
            @Header("Authorization") String authorization, @Body String body) {
        if (!MessageDigest.isEqual(expected, authorization.getBytes(StandardCharsets.UTF_8))) {
            return refuse(ResultCode.UNKNOWN_API_KEY, "the announce token is not valid");
        }
        try {
            Announcement announcement = MAPPER.readValue(body, Announcement.class);
            return membership
                    .announce(announcement.toInfo(), announcement.stamp())
                    .thenApply(EndpointsController::accepted);
        } catch (JsonProcessingException e) {
            return refuse(ResultCode.BAD_JSON, "announcement: " + e.getOriginalMessage());
        } catch (IllegalArgumentException e) {
            return refuse(ResultCode.BAD_JSON, "announcement: " + e.getMessage());
        }
    }

    private static HttpResponse<?> accepted(String stamp) {
        return HttpResponse.ok(
                MAPPER.createObjectNode()
                        .put("stamp", stamp)
                        .put("renew_millis", RENEW_MILLIS)
                        .toString());
    }

    private static CompletionStage<HttpResponse<?>> refuse(ResultCode code, String detail) {
        return CompletableFuture.completedFuture(ErrorBody.response(new Failure(code, detail)));
    }
}
