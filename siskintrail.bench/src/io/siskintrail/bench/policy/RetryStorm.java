package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.PolicyEffect;
import io.siskintrail.internal.policy.PolicyRules;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.RequestKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Urgent work at one and a half times capacity from callers who send again after three seconds, up
 * to 20 times, at any router. Every second caller leaves its former connection open.
 */
final class RetryStorm {
    private static final long WARM = 20_000;
    private static final long END = 100_000;
    private static final double LOAD = 1.5;
    private static final int ACCOUNTS = 4;
    private static final long PATIENCE_MILLIS = 3_000;
    private static final int MAX_RESENDS = 20;
    private static final World.Shape SHAPE = World.Shape.AMMAN;

    private RetryStorm() {}

    static Table run(long seed) {
        Table table = new Table("retry-storm");
        for (Strategy s : Strategy.COMMON) {
            Figures calm = figures(s, false, seed);
            Figures storm = figures(s, true, seed);
            double before = calm.usefulShare(r -> true);
            double after = storm.usefulShare(r -> true);
            table.row(s, "resends")
                    .put("useful_share_without_resends", before)
                    .put("useful_share", after)
                    .put("ratio", after / before)
                    .put("wasted_share", storm.wastedShare())
                    .put("first_token_p95_ms", storm.urgentFirstToken(0.95))
                    .put("sends", storm.arrived(r -> true))
                    .put("joins", storm.joins())
                    .put("refused", storm.refusals());
            if (s == Strategy.OURS) {
                table.target(
                        "useful work >= 0.9 of that without re-sends",
                        after / before,
                        after >= 0.9 * before);
            }
        }
        return table;
    }

    private static Figures figures(Strategy strategy, boolean resend, long seed) {
        World world = new World(SHAPE, strategy, PolicyRules.DEFAULT, seed);
        world.callers = new Impatient(world, resend);
        for (int i = 0; i < ACCOUNTS; i++) {
            double slots = LOAD * SHAPE.totalSlots() / ACCOUNTS;
            world.load(
                    new Source("depot-" + i, Rank.URGENT, 0, 800, 60, 2_000, END, SHAPE.routers())
                            .asking(slots));
        }
        world.run(END);
        return new Figures(world, WARM, END);
    }

    /** Callers who give up a send after three seconds and, in a storm, send again. */
    private static final class Impatient extends Callers {
        private final boolean resend;
        private final Map<Long, Want> wants = new HashMap<>();

        private Impatient(World world, boolean resend) {
            super(world);
            this.resend = resend;
        }

        private static final class Want {
            private final Source source;
            private final List<Call> calls = new ArrayList<>();
            private boolean answered;

            private Want(Source source) {
                this.source = source;
            }

            private boolean isStarted() {
                return calls.stream().anyMatch(c -> c.request.firstTokenAt >= 0);
            }
        }

        @Override
        void arrived(Request request, Source source) {
            Want want = new Want(source);
            wants.put(request.id, want);
            send(want, request);
        }

        private void send(Want want, Request request) {
            RequestKey key = new RequestKey("want-" + request.group);
            Call call = world.send(request, world.balance(SHAPE.routers()), key, 60_000);
            want.calls.add(call);
            world.at(world.now() + PATIENCE_MILLIS, () -> checkPatience(want, call));
        }

        private void checkPatience(Want want, Call call) {
            if (want.answered || want.isStarted()) {
                return;
            }
            boolean keepsOldOpen = resend && call.request.id % 2 == 0;
            if (!keepsOldOpen) {
                call.request.abandoned = true;
                world.abandon(call);
            }
            if (resend && want.calls.size() <= MAX_RESENDS) {
                Request again = world.again(call.request);
                send(want, again);
            }
        }

        @Override
        void refused(Call call, PolicyEffect.Refuse refusal) {
            call.request.refused = true;
        }

        @Override
        void done(Call call) {
            Want want = wants.get(call.request.group);
            if (want.answered) {
                call.request.abandoned = true;
            }
            want.answered = true;
        }
    }
}
