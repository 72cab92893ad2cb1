package io.siskintrail.registry.internal;

import io.siskintrail.internal.rollout.RolloutCommand;
import io.siskintrail.internal.rollout.RolloutOrder;
import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.rollout.RolloutTable;
import io.siskintrail.internal.traffic.configuration.ServiceSpec;
import io.siskintrail.internal.traffic.configuration.TrafficConfiguration;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.net.EventLoop;
import io.siskintrail.net.HttpService.Answer;
import io.siskintrail.registry.RegistryProtocol;
import io.siskintrail.service.LogEvent;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** Takes the orders of rollouts, ends rollouts, and tells operators of them. */
final class RolloutDesk {
    private static final System.Logger LOG = System.getLogger(RolloutDesk.class.getName());

    /** Time for a call; callers turn to another host after a second. */
    private static final long CALL_MILLIS = 900;

    private final RegistryProtocol protocol;
    private final RegistryReplica replica;
    private final LogAccess log;
    private final Set<RolloutOrder> pending = new HashSet<>();
    private Set<ServiceName> services = Set.of();
    private long servicesVersion;

    RolloutDesk(RegistryProtocol protocol, RegistryReplica replica, LogAccess log) {
        this.protocol = protocol;
        this.replica = replica;
        this.log = log;
    }

    /** Starts a rollout; the answer is a success only once the order is committed and applied. */
    void start(Result<RolloutOrder> order, Consumer<Answer> answer) {
        if (order instanceof Result.Err<RolloutOrder> e) {
            Failure failure = e.failure();
            LogEvent.warning(LOG, "rollout.refused")
                    .with("code", failure.code().number())
                    .with("detail", failure.detail())
                    .write();
            answer.accept(Answers.failure(Answers.BAD_REQUEST, failure.detail()));
            return;
        }
        new Attempt(((Result.Ok<RolloutOrder>) order).value(), answer).begin();
    }

    /** Tells of the newest rollout of a service, if what is held is confirmed as current. */
    void read(ServiceName service, Consumer<Answer> answer) {
        log.catchUp(
                EventLoop.nowMillis() + CALL_MILLIS,
                confirmed -> {
                    var held = replica.rollouts().get(service);
                    LogEvent.info(LOG, "rollout.read")
                            .with("service", service)
                            .with("status", held.map(RolloutRecord::status).orElse(null))
                            .with("confirmed", confirmed)
                            .write();
                    if (!confirmed) {
                        answer.accept(Answers.failure(ResultCode.ROLLOUT_UNCONFIRMED));
                        return;
                    }
                    answer.accept(
                            held.map(r -> Answers.json(protocol.describeRollout(r)))
                                    .orElse(Answers.failure(ResultCode.ROLLOUT_UNKNOWN)));
                });
    }

    /**
     * Ends a rollout. One that has already ended keeps its status.
     *
     * @param status how it ended; not running
     * @param deadline when to give up, in monotonic milliseconds
     * @param done called once, with whether the rollout is known to have ended with that status
     */
    void end(
            RolloutRecord rollout,
            RolloutRecord.Status status,
            long deadline,
            Consumer<Boolean> done) {
        ServiceName service = rollout.order().service();
        var command = new RolloutCommand.End(service, rollout.number(), status);
        log.commit(
                ReplicatedState.command(command),
                deadline,
                committed -> {
                    boolean ended =
                            replica.rollouts()
                                    .get(service)
                                    .filter(r -> r.number() == rollout.number())
                                    .filter(r -> r.status() == status)
                                    .isPresent();
                    done.accept(committed && ended);
                });
    }

    /** Returns whether the newest configuration has the service. */
    private boolean isConfigured(ServiceName service) {
        NewestConfiguration held = replica.configuration();
        if (servicesVersion != held.version()) {
            services =
                    protocol.readConfiguration(held.content())
                                    instanceof Result.Ok<TrafficConfiguration> c
                            ? c.value().services().stream()
                                    .map(ServiceSpec::name)
                                    .collect(Collectors.toSet())
                            : Set.of();
            servicesVersion = held.version();
        }
        return services.contains(service);
    }

    /** One call that orders a rollout. */
    private final class Attempt {
        private final RolloutOrder order;
        private final Consumer<Answer> answer;
        private final long began = EventLoop.nowMillis();
        private final long deadline = began + CALL_MILLIS;

        Attempt(RolloutOrder order, Consumer<Answer> answer) {
            this.order = order;
            this.answer = answer;
        }

        void begin() {
            if (judge() == RolloutTable.Verdict.ACCEPTED) {
                finish(ResultCode.OK);
            } else if (!pending.add(order)) {
                finish(ResultCode.ROLLOUT_PENDING);
            } else {
                // What is held may be outdated: a new rollout needs the number of the last one.
                log.catchUp(deadline, confirmed -> decide(confirmed, this::endPending));
            }
        }

        private void endPending(ResultCode code) {
            pending.remove(order);
            finish(code);
        }

        /** Answers according to the rollouts held, or commits the order and decides again. */
        private void decide(boolean confirmed, Consumer<ResultCode> finish) {
            RolloutTable.Verdict verdict = judge();
            if (verdict == RolloutTable.Verdict.ACCEPTED) {
                finish.accept(ResultCode.OK);
            } else if (!confirmed) {
                finish.accept(ResultCode.ROLLOUT_UNCONFIRMED);
            } else if (!isConfigured(order.service())) {
                finish.accept(ResultCode.ROLLOUT_REFUSED);
            } else if (verdict == RolloutTable.Verdict.CONFLICT) {
                finish.accept(ResultCode.ROLLOUT_CONFLICT);
            } else {
                long unixMillis = System.currentTimeMillis();
                log.commit(
                        ReplicatedState.command(replica.rollouts().startCommand(order, unixMillis)),
                        deadline,
                        committed -> decide(committed, finish));
            }
        }

        private RolloutTable.Verdict judge() {
            return replica.rollouts().judge(order, EventLoop.nowMillis());
        }

        private void finish(ResultCode code) {
            LogEvent.info(LOG, "rollout.ordered")
                    .with("service", order.service())
                    .with("to", order.to())
                    .with("durationMs", order.durationMillis())
                    .with("code", code.number())
                    .with("ms", EventLoop.nowMillis() - began)
                    .write();
            if (code == ResultCode.OK) {
                answer.accept(Answers.empty(Answers.OK));
            } else if (code == ResultCode.ROLLOUT_REFUSED) {
                answer.accept(
                        Answers.failure(
                                code.httpStatus(),
                                "the configuration has no service " + order.service()));
            } else {
                answer.accept(Answers.failure(code));
            }
        }
    }
}
