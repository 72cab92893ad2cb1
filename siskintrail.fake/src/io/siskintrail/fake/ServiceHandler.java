package io.siskintrail.fake;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Executes the calls of one connection to a fake service. */
final class ServiceHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String REQUEST_ID_HEADER = "X-Request-Id";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ServiceState state;

    ServiceHandler(ServiceState state) {
        this.state = state;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (state.paused()) {
            return;
        }
        state.reached(CallPhase.ARRIVED);
        ServiceFault fault = state.takeFault();
        if (fault == ServiceFault.RESET_BEFORE) {
            HttpAnswers.reset(ctx);
            return;
        }
        if (fault == ServiceFault.HANG) {
            return;
        }
        String key = keyOf(request);
        int execution = state.execute(key, request.headers().get(REQUEST_ID_HEADER, ""));
        state.reached(CallPhase.EXECUTED);
        if (fault == ServiceFault.RESET_AFTER) {
            state.answered();
            HttpAnswers.reset(ctx);
            return;
        }
        if (fault == ServiceFault.CUT_ANSWER) {
            state.answered();
            HttpAnswers.cut(ctx, "{\"execution\":");
        }
        if (fault == ServiceFault.NONE) {
            String body = answer(request, key, execution);
            ctx.executor()
                    .schedule(() -> answer(ctx, body), state.answerMillis(), TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void answer(ChannelHandlerContext ctx, String body) {
        state.answered();
        if (!state.paused()) {
            HttpAnswers.json(ctx, HttpResponseStatus.OK, body);
        }
    }

    private static String keyOf(FullHttpRequest request) {
        String key = request.headers().get(KEY_HEADER);
        return key != null ? key : request.method() + " " + request.uri();
    }

    private static String answer(FullHttpRequest request, String key, int execution) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("key", key);
        json.put("path", request.uri());
        json.put("execution", execution);
        json.put("received", request.content().toString(StandardCharsets.UTF_8));
        return json.toString();
    }
}
