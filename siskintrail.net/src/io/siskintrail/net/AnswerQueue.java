package io.siskintrail.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.net.HttpService.Answer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Writes the answers of a connection's calls in the order of the calls. Used on the event loop of
 * the connection.
 */
final class AnswerQueue {
    private static final System.Logger LOG = System.getLogger(AnswerQueue.class.getName());

    /** Time for a caller to read an answer before its connection, with unread bytes, is reset. */
    private static final long READ_TIME_MILLIS = 1_000;

    private final Channel channel;
    private final Deque<Turn> turns = new ArrayDeque<>();
    private boolean ended;
    private boolean closed;

    /** What becomes of the connection behind an answer. */
    enum Next {
        /** Further calls may follow. */
        FURTHER_CALLS,

        /** The connection is closed. */
        CLOSE,

        /** The connection, which has unread bytes, is closed when the caller had time to read. */
        DELAYED_CLOSE
    }

    /** The turn of a call; takes its answer, and drops further ones. */
    private final class Turn implements Consumer<Answer> {
        private final Next next;
        private final Runnable sent;
        private FullHttpResponse response;

        Turn(Next next, Runnable sent) {
            this.next = next;
            this.sent = sent;
        }

        /** Returns the response for an answer, an internal error if there can be none for it. */
        private FullHttpResponse buildOrFail(Answer given) {
            boolean keepAlive = next == Next.FURTHER_CALLS;
            try {
                return build(given, keepAlive);
            } catch (RuntimeException e) {
                LOG.log(System.Logger.Level.ERROR, "event=http.answer.failed", e);
                int status = ResultCode.INTERNAL.httpStatus();
                return build(new Answer(status, "", new byte[0]), keepAlive);
            }
        }

        @Override
        public void accept(Answer given) {
            if (response != null) {
                return;
            }
            response = buildOrFail(given);
            if (closed) {
                sent.run();
            } else {
                writeReady();
            }
        }
    }

    /** Makes a queue for the answers of {@code channel}. */
    AnswerQueue(Channel channel) {
        this.channel = channel;
    }

    /**
     * Adds a call; must not be called when the queue {@linkplain #hasEnded() has ended}.
     *
     * @param next what becomes of the connection behind the answer
     * @param sent called once, when the answer has left or is lost with its connection
     * @return takes the answer, now or later
     */
    Consumer<Answer> add(Next next, Runnable sent) {
        Turn turn = new Turn(next, sent);
        turns.add(turn);
        ended = next != Next.FURTHER_CALLS;
        return turn;
    }

    /** Returns whether a call was added behind which the connection is closed. */
    boolean hasEnded() {
        return ended;
    }

    /** Tells that the connection is closed. */
    void closed() {
        closed = true;
        turns.stream().filter(t -> t.response != null).forEach(t -> t.sent.run());
        turns.clear();
    }

    private void writeReady() {
        while (!turns.isEmpty() && turns.peek().response != null) {
            Turn turn = turns.poll();
            ChannelFuture written = channel.writeAndFlush(turn.response);
            written.addListener(f -> turn.sent.run());
            if (turn.next == Next.CLOSE) {
                written.addListener(ChannelFutureListener.CLOSE);
            } else if (turn.next == Next.DELAYED_CLOSE) {
                closeLater();
            }
        }
    }

    private void closeLater() {
        channel.eventLoop()
                .schedule(() -> channel.close(), READ_TIME_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static FullHttpResponse build(Answer answer, boolean keepAlive) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        Unpooled.wrappedBuffer(answer.body()));
        if (!answer.contentType().isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        }
        HttpUtil.setContentLength(response, answer.body().length);
        HttpUtil.setKeepAlive(response, keepAlive);
        return response;
    }
}
