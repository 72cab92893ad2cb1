package io.siskintrail.internal.session;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ResultCode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** A client before a log that loses, repeats, delays and reorders what it is given. */
class SessionFuzzTest {
    private static final long RETRY_MILLIS = 50;
    private static final long DEADLINE_MILLIS = 400;
    private static final int STEPS = 300;

    @Property(seed = "4301", tries = 300, shrinking = ShrinkingMode.OFF)
    void commandsAreAppliedOnceAndAnsweredTruly(@ForAll long seed) {
        String fault = new Run(seed, true).fault();
        assertWithMessage("fault").that(fault).isNull();
    }

    @Example
    void snapshotsWithoutFloorsAreNoticed() {
        boolean noticed = false;
        for (int seed = 0; seed < 300 && !noticed; seed++) {
            noticed = new Run(seed, false).fault() != null;
        }
        assertThat(noticed).isTrue();
    }

    /** One random run. */
    private static final class Run {
        private final SplittableRandom random;
        private final boolean keepsFloors;
        private final ClientSession session;
        private final Map<Long, Integer> applied = new HashMap<>();
        private final Set<Long> neverApplied = new HashSet<>();
        private final List<NumberedCommand> underway = new ArrayList<>();
        private SessionTable table = new SessionTable();
        private long now;
        private long token;
        private long index;
        private String fault;

        Run(long seed, boolean keepsFloors) {
            this.random = new SplittableRandom(seed);
            this.keepsFloors = keepsFloors;
            this.session =
                    new ClientSession(
                            List.of(new HostId("a"), new HostId("b")),
                            RETRY_MILLIS,
                            DEADLINE_MILLIS,
                            seed);
        }

        String fault() {
            for (int i = 0; i < STEPS && fault == null; i++) {
                now += random.nextInt(20);
                switch (random.nextInt(12)) {
                    case 0, 1, 2 -> submit();
                    case 3 -> input(new SessionInput.NotLeader(new HostId("a"), new HostId("b")));
                    case 4 -> snapshot();
                    case 5 -> now += random.nextInt(10) == 0 ? SessionTable.SESSION_MILLIS : 0;
                    case 6, 7, 8, 9 -> commitOne();
                    default -> input(new SessionInput.Tick());
                }
            }
            while (!underway.isEmpty() && fault == null) {
                commitOne();
            }
            return fault;
        }

        private void submit() {
            token++;
            input(new SessionInput.Submit(token, Payload.wrap(new byte[] {(byte) token})));
        }

        private void snapshot() {
            List<SessionTable.Image> images = table.images();
            if (!keepsFloors) {
                images.replaceAll(
                        i -> new SessionTable.Image(i.client(), i.seenAtMillis(), 0, i.answers()));
            }
            table = new SessionTable();
            table.restore(images);
        }

        /** Commits something that is underway; it may be lost, or stay to be committed again. */
        private void commitOne() {
            if (underway.isEmpty()) {
                return;
            }
            int at = random.nextInt(underway.size());
            NumberedCommand command = underway.get(at);
            if (random.nextInt(4) > 0) {
                underway.remove(at);
            }
            if (random.nextInt(8) == 0) {
                return;
            }
            SessionTable.Decision decision = table.decide(++index, now, command);
            Payload answer = null;
            if (decision instanceof SessionTable.Decision.Apply) {
                answer = apply(command);
                table.record(command, answer);
            } else if (decision instanceof SessionTable.Decision.Repeated r) {
                answer = r.answer();
            } else if (decision instanceof SessionTable.Decision.Opened o) {
                input(new SessionInput.Opened(command.client(), o.client()));
            } else if (random.nextInt(3) > 0) {
                input(new SessionInput.Forgotten(command.client(), command.number()));
            }
            if (answer != null && random.nextInt(3) > 0) {
                input(new SessionInput.Answered(command.client(), command.number(), answer));
            }
        }

        /** Applies a command; the answer repeats it. */
        private Payload apply(NumberedCommand command) {
            long id = command.command().array()[0] & 0xff;
            int times = applied.merge(id, 1, Integer::sum);
            if (times > 1) {
                fault = "command " + id + " applied " + times + " times";
            }
            if (neverApplied.contains(id)) {
                fault = "command " + id + " applied after it was told to be not proposed";
            }
            return command.command();
        }

        private void input(SessionInput input) {
            for (SessionEffect effect : session.step(now, input)) {
                if (effect instanceof SessionEffect.Propose p) {
                    underway.addAll(p.commands());
                } else if (effect instanceof SessionEffect.Complete c) {
                    if ((c.answer().array()[0] & 0xff) != c.token()) {
                        fault = "answer to " + c.token() + " is of another command";
                    }
                } else if (effect instanceof SessionEffect.Fail f
                        && f.code() == ResultCode.CONTROL_UNAVAILABLE) {
                    neverApplied.add(f.token());
                }
            }
        }
    }
}
