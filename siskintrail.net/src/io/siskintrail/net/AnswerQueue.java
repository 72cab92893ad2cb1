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
import io.siskintrail.net.HttpService.Answer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Writes the answers of a connection's calls in the order of the calls. Used on the event loop of
 * the connection.
 */
final class AnswerQueue {
    private final Channel channel;
    private final Deque<Turn> turns = new ArrayDeque<>();
    private boolean ended;
    private boolean closed;

    /** The turn of a call; takes its answer, and drops further ones. */
    private final class Turn implements Consumer<Answer> {
        private final boolean keepAlive;
        private final Runnable sent;
        private Answer answer;

        Turn(boolean keepAlive, Runnable sent) {
            this.keepAlive = keepAlive;
            this.sent = sent;
        }

        @Override
        public void accept(Answer given) {
            if (answer != null) {
                return;
            }
            answer = given;
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
     * @param keepAlive whether further calls may follow; else the connection is closed behind the
     *     answer
     * @param sent called once, when the answer has left or is lost with its connection
     * @return takes the answer, now or later
     */
    Consumer<Answer> add(boolean keepAlive, Runnable sent) {
        Turn turn = new Turn(keepAlive, sent);
        turns.add(turn);
        ended = !keepAlive;
        return turn;
    }

    /** Returns whether a call was added behind which the connection is closed. */
    boolean hasEnded() {
        return ended;
    }

    /** Tells that the connection is closed. */
    void closed() {
        closed = true;
        turns.stream().filter(t -> t.answer != null).forEach(t -> t.sent.run());
        turns.clear();
    }

    private void writeReady() {
        while (!turns.isEmpty() && turns.peek().answer != null) {
            Turn turn = turns.poll();
            ChannelFuture written = channel.writeAndFlush(response(turn));
            written.addListener(f -> turn.sent.run());
            if (!turn.keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }
    }

    private static FullHttpResponse response(Turn turn) {
        Answer answer = turn.answer;
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        Unpooled.wrappedBuffer(answer.body()));
        if (!answer.contentType().isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        }
        HttpUtil.setContentLength(response, answer.body().length);
        HttpUtil.setKeepAlive(response, turn.keepAlive);
        return response;
    }
}
