package io.siskintrail.wire.control;

/**
 * Converts what a replicated state exchanges to bytes and back.
 *
 * @param <C> the commands
 * @param <A> the answers
 * @param <S> the images
 */
public interface StateCodec<C, A, S> {

    /** Returns the bytes of {@code command}. */
    byte[] encodeCommand(C command);

    /** Returns the command in {@code bytes}. */
    C decodeCommand(byte[] bytes);

    /** Returns the bytes of {@code answer}. */
    byte[] encodeAnswer(A answer);

    /** Returns the answer in {@code bytes}. */
    A decodeAnswer(byte[] bytes);

    /** Returns the bytes of {@code image}. */
    byte[] encodeImage(S image);

    /** Returns the image in {@code bytes}. */
    S decodeImage(byte[] bytes);
}
