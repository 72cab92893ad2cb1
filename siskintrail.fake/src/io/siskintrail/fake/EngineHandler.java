package io.siskintrail.fake;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;

/** Answers the HTTP requests of one connection to a fake engine. */
final class EngineHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String COMPLETIONS = "/v1/completions";
    private static final String LOAD = "/v1/load";

    private final EngineState state;
    private EngineStream stream;

    EngineHandler(EngineState state) {
        this.state = state;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (state.paused()) {
            return;
        }
        switch (request.uri()) {
            case COMPLETIONS -> complete(ctx, request);
            case LOAD -> HttpAnswers.json(ctx, HttpResponseStatus.OK, load());
            default ->
                    HttpAnswers.json(
                            ctx, HttpResponseStatus.NOT_FOUND, "{\"error\":\"no such path\"}");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (stream != null) {
            stream.cancel();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void complete(ChannelHandlerContext ctx, FullHttpRequest http) {
        EngineRequest request;
        try {
            byte[] body = new byte[http.content().readableBytes()];
            http.content().readBytes(body);
            request = EngineRequest.parse(body);
        } catch (IOException | IllegalArgumentException e) {
            HttpAnswers.json(ctx, HttpResponseStatus.BAD_REQUEST, "{\"error\":\"bad request\"}");
            return;
        }
        if (!state.serves(request.model())) {
            HttpAnswers.json(
                    ctx, HttpResponseStatus.CONFLICT, "{\"error\":\"model is not loaded\"}");
            return;
        }
        if (state.diesOn(request.prompt())) {
            return;
        }
        stream = new EngineStream(ctx, state, request);
        stream.start();
    }

    private String load() {
        return "{\"running\":%d,\"waiting\":%d,\"slots\":%d}"
                .formatted(state.running(), state.waiting(), state.settings().slots());
    }
}
