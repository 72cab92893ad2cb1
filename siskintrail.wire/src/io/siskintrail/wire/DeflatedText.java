package io.siskintrail.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Packs text files for the wire. Rules files shrink to about a tenth. */
public final class DeflatedText {
    private static final int MAX_BYTES = 8 << 20;
    private static final int BUFFER_BYTES = 8_192;

    private DeflatedText() {}

    /** Returns {@code text}, compressed. */
    public static ByteBuffer pack(String text) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return ByteBuffer.wrap(out.toByteArray());
        } finally {
            deflater.end();
        }
    }

    /** Returns the text in {@code packed}. */
    public static String unpack(byte[] packed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(packed);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                boolean stuck = count == 0 && !inflater.finished();
                if (stuck || out.size() + count > MAX_BYTES) {
                    throw new IllegalArgumentException("deflated text is cut short or too long");
                }
                out.write(buffer, 0, count);
            }
            return out.toString(StandardCharsets.UTF_8);
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("deflated text is damaged", e);
        } finally {
            inflater.end();
        }
    }
}
