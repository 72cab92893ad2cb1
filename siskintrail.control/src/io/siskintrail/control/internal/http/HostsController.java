package io.siskintrail.control.internal.http;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.siskintrail.control.internal.configuration.ConfigurationService;
import io.siskintrail.internal.control.ConfigurationAnswer;
import io.siskintrail.internal.control.ConfigurationCommand;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.wire.control.ControlException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

/** Shows and changes the routers of the deployment. */
@Controller("/admin/hosts")
final class HostsController {
    private final ConfigurationService service;

    HostsController(ConfigurationService service) {
        this.service = service;
    }

    /**
     * A router in a request or an answer.
     *
     * @param id its host id
     * @param domain its failure domain
     * @param peerAddress {@code ip:port} where it takes messages of peers
     */
    record Host(String id, String domain, String peerAddress) {}

    /**
     * The outcome of a change.
     *
     * @param version the version of rules and hosts that has it
     */
    record Changed(long version) {}

    @Get
    List<Host> list() {
        return service.image().current().hosts().stream()
                .map(h -> new Host(h.id().value(), h.domain().value(), h.peerAddress()))
                .toList();
    }

    @Post
    CompletionStage<HttpResponse<?>> put(@Body Host host) {
        HostInfo info;
        try {
            info =
                    new HostInfo(
                            new HostId(host.id()),
                            new FailureDomain(host.domain()),
                            host.peerAddress());
        } catch (IllegalArgumentException e) {
            return CompletableFuture.completedFuture(
                    ErrorBody.response(new Failure(ResultCode.MISSING_FIELD, e.getMessage())));
        }
        return change(new ConfigurationCommand.PutHost(info));
    }

    @Post("/{id}/drain")
    CompletionStage<HttpResponse<?>> drain(String id) {
        return change(new ConfigurationCommand.SetDraining(new HostId(id), true));
    }

    @Delete("/{id}/drain")
    CompletionStage<HttpResponse<?>> undrain(String id) {
        return change(new ConfigurationCommand.SetDraining(new HostId(id), false));
    }

    @Delete("/{id}")
    CompletionStage<HttpResponse<?>> remove(String id) {
        return change(new ConfigurationCommand.RemoveHost(new HostId(id)));
    }

    private CompletionStage<HttpResponse<?>> change(ConfigurationCommand command) {
        return service.propose(command)
                .<HttpResponse<?>>thenApply(HostsController::respond)
                .exceptionally(HostsController::unavailable);
    }

    private static HttpResponse<?> respond(ConfigurationAnswer answer) {
        if (answer instanceof ConfigurationAnswer.HostsChanged changed) {
            return HttpResponse.ok(new Changed(changed.version()));
        }
        if (answer instanceof ConfigurationAnswer.HostsPending pending) {
            return ErrorBody.response(
                    new Failure(
                            ResultCode.HOSTS_PENDING,
                            "version %d is not in force yet; send the change again later"
                                    .formatted(pending.version())));
        }
        return ErrorBody.response(
                new Failure(
                        ResultCode.HOSTS_REFUSED,
                        "the host is unknown, or the last one to be removed"));
    }

    private static HttpResponse<?> unavailable(Throwable thrown) {
        Throwable cause = thrown instanceof CompletionException ? thrown.getCause() : thrown;
        if (cause instanceof ControlException e) {
            return ErrorBody.response(e.failure());
        }
        return ErrorBody.response(new Failure(ResultCode.INTERNAL, cause.toString()));
    }
}
