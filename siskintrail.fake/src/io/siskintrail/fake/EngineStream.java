package io.siskintrail.fake;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.siskintrail.service.LogEvent;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Sends the tokens of one request. All methods but {@link #start} run on the channel's loop. */
final class EngineStream {
    private static final long DELAY_MILLIS = 150;
    private static final int CACHED_SPEEDUP = 4;

    private static final System.Logger LOG = System.getLogger(EngineStream.class.getName());

    private final ChannelHandlerContext ctx;
    private final EngineState state;
    private final EngineRequest request;
    private final FakeTokens tokens;
    private final Runnable begin = this::onLoop;
    private int offset;
    private boolean holdsSlot;
    private boolean ended;
    private String held;

    EngineStream(ChannelHandlerContext ctx, EngineState state, EngineRequest request) {
        this.ctx = ctx;
        this.state = state;
        this.request = request;
        FakeEngineSettings settings = state.settings();
        String salt = settings.divergent() ? settings.id() : "";
        this.tokens = new FakeTokens(request.model(), request.prompt(), request.seed(), salt);
        tokens.skip(request.prefix());
        offset = request.prefix().size();
    }

    void start() {
        state.acquire(begin);
    }

    void cancel() {
        if (ended) {
            return;
        }
        ended = true;
        if (holdsSlot) {
            state.release();
        } else {
            state.withdraw(begin);
        }
    }

    private void onLoop() {
        ctx.executor().execute(this::begin);
    }

    private void begin() {
        if (ended) {
            state.release();
            return;
        }
        holdsSlot = true;
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        ctx.writeAndFlush(head);
        boolean cached = state.computePrompt(request.prompt(), request.prefix().size());
        int wait = state.settings().firstTokenMillis();
        schedule(cached ? wait / CACHED_SPEEDUP : wait);
    }

    private void schedule(long millis) {
        ctx.executor().schedule(this::emit, millis, TimeUnit.MILLISECONDS);
    }

    private void emit() {
        if (ended) {
            return;
        }
        if (state.paused()) {
            schedule(Math.max(1, state.settings().tokenMillis()));
            return;
        }
        if (offset >= request.maxTokens()) {
            finish();
            return;
        }
        int token = tokens.next();
        state.countDecoded();
        String chunk = chunk(Integer.toString(token), FakeTokens.text(token), "null");
        sendWith(state.takeFault(offset), chunk);
    }

    private void sendWith(EngineFault fault, String chunk) {
        offset++;
        long next = state.settings().tokenMillis();
        switch (fault) {
            case REPEAT_CHUNK -> {
                send(chunk);
                send(chunk);
            }
            case CROSS_CHUNKS -> held = chunk;
            case RESET -> {
                HttpAnswers.reset(ctx);
                return;
            }
            case DELAY_CHUNK -> {
                send(chunk);
                next += DELAY_MILLIS;
            }
            case NONE -> sendAndReleaseHeld(chunk);
            default -> LogEvent.debug(LOG, "fake.chunk.lost").with("offset", offset).write();
        }
        schedule(next);
    }

    private void sendAndReleaseHeld(String chunk) {
        send(chunk);
        if (held != null) {
            send(held);
            held = null;
        }
    }

    private void finish() {
        ended = true;
        state.release();
        send(chunk("", "", "\"length\""));
        ctx.write(content("data: [DONE]\n\n"));
        ctx.writeAndFlush(new DefaultLastHttpContent());
    }

    private String chunk(String tokenIds, String text, String finishReason) {
        return ("{\"id\":\"%s\",\"offset\":%d,\"token_ids\":[%s],\"text\":\"%s\","
                        + "\"finish_reason\":%s}")
                .formatted(request.id(), offset, tokenIds, text, finishReason);
    }

    private void send(String json) {
        ctx.writeAndFlush(content("data: " + json + "\n\n"));
    }

    private static DefaultHttpContent content(String text) {
        return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }
}
