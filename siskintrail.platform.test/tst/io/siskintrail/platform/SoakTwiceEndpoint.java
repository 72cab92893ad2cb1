package io.siskintrail.platform;

import io.siskintrail.platform.ScriptedEndpoint.ReceivedRequest;
import io.siskintrail.platform.SoakSecondAnswerPlan.Cut;
import io.siskintrail.platform.SoakSecondAnswerPlan.Delimiter;
import io.siskintrail.platform.SoakSecondAnswerPlan.Ids;
import io.siskintrail.platform.SoakSecondAnswerPlan.Moment;
import io.siskintrail.platform.SoakSecondAnswers.Answer;
import io.siskintrail.platform.SoakSecondAnswers.Run;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Answers of an endpoint that answers part of its requests twice. Thread-safe. */
final class SoakTwiceEndpoint implements AutoCloseable {
    private static final int MAX_WORK_MILLIS = 40;
    private static final int EVENT_INTERVAL_MILLIS = 15;

    private final SoakRecorder recorder;
    private final SplittableRandom random;
    private final Map<OutputStream, SoakTwiceConnection> connections = new ConcurrentHashMap<>();
    private final ScheduledExecutorService late =
            Executors.newScheduledThreadPool(
                    4,
                    task -> {
                        Thread thread = new Thread(task, "soak-late-answer");
                        thread.setDaemon(true);
                        return thread;
                    });

    SoakTwiceEndpoint(SoakRecorder recorder, long seed) {
        this.recorder = recorder;
        this.random = new SplittableRandom(seed);
    }

    /** Answers a request; returns whether the connection stays open. */
    boolean answer(ReceivedRequest request, OutputStream out) throws IOException {
        SoakTwiceConnection connection =
                connections.computeIfAbsent(out, o -> new SoakTwiceConnection(o, recorder));
        int number = connection.beginRequest();
        SoakSecondAnswerPlan plan;
        int workMillis;
        synchronized (random) {
            plan = SoakSecondAnswerPlan.draw(random);
            workMillis = random.nextInt(MAX_WORK_MILLIS);
        }
        boolean stream = request.head().startsWith("POST /gen/");
        Run run = newRun(request, plan, stream);
        recorder.secondAnswers().recordRun(run, request.head().startsWith("POST /once/"));
        Http.sleep(workMillis);
        connection.writeDue();
        if (plan.isFirstLost()) {
            Http.sleep(plan.lateMillis());
            recorder.increment("second alone");
            write(connection, run, run.second(), plan, false);
            connection.endRequest();
            return true;
        }
        if (plan.broken()) {
            connection.writeBroken(text(run, run.first(), plan, false));
            return false;
        }
        if (!isStream(run.first()) && plan.firstDelimiter() == Delimiter.NONE) {
            connection.writeLast(text(run, run.first(), plan, false));
            return false;
        }
        boolean atOnce = plan.hasSecond() && plan.moment() == Moment.AT_ONCE;
        if (atOnce && !isStream(run.first())) {
            countSecond(connection, number, plan);
            connection.writeWhole(
                    text(run, run.first(), plan, false) + text(run, run.second(), plan, true));
        } else {
            write(connection, run, run.first(), plan, false);
            if (atOnce) {
                countSecond(connection, number, plan);
                write(connection, run, run.second(), plan, true);
            }
        }
        connection.endRequest();
        scheduleSecond(connection, number, run, plan);
        return true;
    }

    @Override
    public void close() {
        late.shutdownNow();
    }

    private Run newRun(ReceivedRequest request, SoakSecondAnswerPlan plan, boolean stream) {
        String requestId = request.header("X-Request-Id");
        String lastEventId = request.header("Last-Event-Id");
        int number = recorder.secondAnswers().nextRun();
        return new Run(
                number,
                requestId,
                lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1,
                newAnswer(requestId, number, 1, plan.firstStatus(), plan, stream),
                newAnswer(requestId, number, 2, plan.secondStatus(), plan, stream));
    }

    private static Answer newAnswer(
            String requestId,
            int run,
            int number,
            int status,
            SoakSecondAnswerPlan plan,
            boolean stream) {
        if (status == 0) {
            return null;
        }
        String signature = SoakAnswerBytes.signature(run, number);
        boolean events = stream && status == 200;
        return new Answer(
                status,
                signature,
                events ? null : SoakAnswerBytes.body(requestId, signature, status, plan.padding()));
    }

    private static boolean isStream(Answer answer) {
        return answer.body() == null;
    }

    private void scheduleSecond(
            SoakTwiceConnection connection, int number, Run run, SoakSecondAnswerPlan plan) {
        if (!plan.hasSecond() || plan.moment() == Moment.AT_ONCE) {
            return;
        }
        if (plan.moment() == Moment.NEXT) {
            connection.addDue(() -> writeSecond(connection, number, run, plan));
            return;
        }
        late.schedule(
                () -> {
                    try {
                        writeSecond(connection, number, run, plan);
                    } catch (IOException e) {
                        recorder.increment("second too late for its connection");
                    }
                },
                plan.lateMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void writeSecond(
            SoakTwiceConnection connection, int number, Run run, SoakSecondAnswerPlan plan)
            throws IOException {
        write(connection, run, run.second(), plan, true);
        countSecond(connection, number, plan);
    }

    private void countSecond(
            SoakTwiceConnection connection, int number, SoakSecondAnswerPlan plan) {
        recorder.increment("second " + plan.moment());
        if (plan.cut() != Cut.NONE) {
            recorder.increment("second cut " + plan.cut());
        }
        connection.recordSecond(number);
    }

    private void write(
            SoakTwiceConnection connection,
            Run run,
            Answer answer,
            SoakSecondAnswerPlan plan,
            boolean second)
            throws IOException {
        String text = text(run, answer, plan, second);
        if (isStream(answer) && !(second && plan.cut() != Cut.NONE)) {
            connection.writeEvents(text, EVENT_INTERVAL_MILLIS);
        } else if (second ? plan.secondInParts() : plan.firstInParts()) {
            connection.writeInParts(text);
        } else {
            connection.writeWhole(text);
        }
    }

    private static String text(Run run, Answer answer, SoakSecondAnswerPlan plan, boolean second) {
        Ids ids = second ? plan.ids() : Ids.OWN;
        String text;
        if (isStream(answer)) {
            StringBuilder events = new StringBuilder();
            events.append(SoakAnswerBytes.streamHead(run.requestId(), answer, ids));
            for (int i = run.firstEvent(); i <= SoakEndpoint.EVENT_COUNT; i++) {
                events.append(SoakAnswerBytes.event(answer.signature(), i));
            }
            text = events.append(SoakAnswerBytes.chunk("")).toString();
        } else {
            text =
                    SoakAnswerBytes.call(
                            run.requestId(),
                            answer,
                            ids,
                            second ? plan.secondDelimiter() : plan.firstDelimiter());
        }
        if (second) {
            text = SoakAnswerBytes.cut(text, plan.cut());
        }
        return plan.interim() ? SoakAnswerBytes.behindInterim(text) : text;
    }
}
