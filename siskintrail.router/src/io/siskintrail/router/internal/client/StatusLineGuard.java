package io.siskintrail.router.internal.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Pattern;

/**
 * Fails the request of a connection when the status of its response, or of an interim response
 * before it, is not three digits from 100 to 599. The decoder behind it takes any integer for a
 * status, so that such a response would pass for a success or an error of the endpoint. A
 * connection carries one request.
 */
final class StatusLineGuard extends ChannelInboundHandlerAdapter {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}\\s?");
    private static final Pattern INTERIM = Pattern.compile("HTTP/1\\.[01] 1");

    /** Length of a status line up to the blank behind the status. */
    private static final int CHECKED_LENGTH = 13;

    private final StringBuilder line = new StringBuilder(CHECKED_LENGTH);
    private Part part = Part.STATUS_LINE;
    private boolean isInterim;
    private boolean isLineEmpty;

    /** What the next byte belongs to. */
    private enum Part {
        /** A status line, or an empty line before it. */
        STATUS_LINE,
        /** The rest of a head behind its checked status. */
        FIELDS,
        /** What follows the head of the final response. */
        BODY,
        /** What follows an invalid status line. */
        INVALID
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        boolean wasInvalid = part == Part.INVALID;
        readHead((ByteBuf) message);
        if (part != Part.INVALID) {
            context.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        if (!wasInvalid) {
            context.fireExceptionCaught(new DecoderException("invalid status line: " + line));
            context.close();
        }
    }

    private void readHead(ByteBuf bytes) {
        int end = bytes.writerIndex();
        for (int i = bytes.readerIndex(); i < end && isInHead(); i++) {
            accept((char) bytes.getUnsignedByte(i));
        }
    }

    private boolean isInHead() {
        return part == Part.STATUS_LINE || part == Part.FIELDS;
    }

    private void accept(char octet) {
        if (part == Part.STATUS_LINE) {
            acceptStatus(octet);
        } else if (octet == '\n') {
            endField();
        } else if (octet != '\r') {
            isLineEmpty = false;
        }
    }

    /**
     * Takes an octet of a status line; the decoder skips blanks and control characters before it.
     */
    private void acceptStatus(char octet) {
        if (line.isEmpty() && octet <= ' ') {
            return;
        }
        line.append(octet);
        if (line.length() < CHECKED_LENGTH && octet != '\n') {
            return;
        }
        if (!STATUS_LINE.matcher(line).matches()) {
            part = Part.INVALID;
            return;
        }
        isInterim = INTERIM.matcher(line).lookingAt();
        line.setLength(0);
        part = Part.FIELDS;
        isLineEmpty = octet == '\n';
    }

    private void endField() {
        if (isLineEmpty) {
            part = isInterim ? Part.STATUS_LINE : Part.BODY;
        }
        isLineEmpty = true;
    }
}
