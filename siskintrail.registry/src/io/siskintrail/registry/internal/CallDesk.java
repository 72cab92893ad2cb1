package io.siskintrail.registry.internal;

import io.siskintrail.internal.traffic.configuration.TrafficConfiguration;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.HttpService;
import io.siskintrail.net.HttpService.Answer;
import io.siskintrail.registry.RegistryCall;
import io.siskintrail.registry.RegistryProtocol;
import io.siskintrail.service.LogEvent;
import java.util.function.Consumer;

/** Answers the calls of operators and endpoints. */
final class CallDesk implements HttpService.Handler {
    private static final System.Logger LOG = System.getLogger(CallDesk.class.getName());

    /** Time for a call; callers turn to another host after a second. */
    private static final long CALL_MILLIS = 900;

    /** Further time for each kilobyte of a configuration, for which callers wait longer. */
    private static final long MILLIS_PER_KIB = 6;

    private static final int KIB = 1024;

    private final RegistryProtocol protocol;
    private final RegistryReplica replica;
    private final LogAccess log;
    private final Endpoints endpoints;
    private final RolloutDesk rollouts;

    CallDesk(
            RegistryProtocol protocol,
            RegistryReplica replica,
            LogAccess log,
            Endpoints endpoints,
            RolloutDesk rollouts) {
        this.protocol = protocol;
        this.replica = replica;
        this.log = log;
        this.endpoints = endpoints;
        this.rollouts = rollouts;
    }

    @Override
    public void handle(HttpService.Call call, Consumer<Answer> answer) {
        RegistryCall asked = protocol.read(call);
        if (asked instanceof RegistryCall.PutConfiguration p) {
            put(p, answer);
        } else if (asked instanceof RegistryCall.ReadConfiguration) {
            read(answer);
        } else if (asked instanceof RegistryCall.Report r) {
            report(r.endpoint(), answer);
        } else if (asked instanceof RegistryCall.Leave l) {
            endpoints.left(l.endpoint());
            answer.accept(Answers.empty(Answers.OK));
        } else if (asked instanceof RegistryCall.StartRollout s) {
            rollouts.start(s.order(), answer);
        } else if (asked instanceof RegistryCall.ReadRollout r) {
            rollouts.read(r.service(), answer);
        } else {
            answer.accept(Answers.empty(Answers.NOT_FOUND));
        }
    }

    private void put(RegistryCall.PutConfiguration put, Consumer<Answer> answer) {
        if (put.configuration() instanceof Result.Err<TrafficConfiguration> e) {
            LogEvent.warning(LOG, "configuration.refused")
                    .with("code", e.failure().code().number())
                    .with("detail", e.failure().detail())
                    .write();
            answer.accept(Answers.failure(Answers.BAD_REQUEST, e.failure().detail()));
            return;
        }
        long version = ((Result.Ok<TrafficConfiguration>) put.configuration()).value().version();
        if (version <= replica.configuration().version()) {
            logPut(version, "already-superseded", 0);
            answer.accept(Answers.empty(Answers.OK));
            return;
        }
        long began = EventLoop.nowMillis();
        long time = CALL_MILLIS + MILLIS_PER_KIB * put.content().length / KIB;
        log.commit(
                NewestConfiguration.command(version, put.content()),
                began + time,
                done -> {
                    logPut(version, done ? "committed" : "unconfirmed", began);
                    answer.accept(
                            done
                                    ? Answers.empty(Answers.OK)
                                    : Answers.failure(ResultCode.RULES_PENDING));
                });
    }

    private void read(Consumer<Answer> answer) {
        log.catchUp(
                EventLoop.nowMillis() + CALL_MILLIS,
                done -> {
                    NewestConfiguration held = replica.configuration();
                    LogEvent.info(LOG, "configuration.read")
                            .with("version", held.version())
                            .with("confirmed", done)
                            .write();
                    boolean known = done && held.version() > 0;
                    answer.accept(
                            known
                                    ? Answers.json(held.content())
                                    : Answers.failure(ResultCode.CONFIGURATION_UNCONFIRMED));
                });
    }

    private void report(Result<EndpointRecord> report, Consumer<Answer> answer) {
        if (report instanceof Result.Ok<EndpointRecord> ok) {
            endpoints.reported(ok.value());
            answer.accept(Answers.empty(Answers.OK));
            return;
        }
        String detail = ((Result.Err<EndpointRecord>) report).failure().detail();
        LogEvent.warning(LOG, "endpoint.report.unreadable").with("detail", detail).write();
        answer.accept(Answers.failure(Answers.BAD_REQUEST, detail));
    }

    private static void logPut(long version, String outcome, long began) {
        LogEvent.info(LOG, "configuration.put")
                .with("version", version)
                .with("outcome", outcome)
                .with("ms", began == 0 ? 0 : EventLoop.nowMillis() - began)
                .write();
    }
}
