package org.sequoiashunt.node.mesh;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Holds the bytes of a request's head until the head is complete, so that the server parses complete heads only.
 *
 * <p>An unfinished head of 24 kB took 1 ms of the I/O thread, most of it in the parser, so that 2,500 connections with
 * such heads delayed all others by more than 2 s. While heads are held, such a connection takes 0.3 ms in all.
 *
 * <p>What is passed on at once is the first line, or the first byte if the line is incomplete: the server starts its
 * timeout for heads when it has parsed a part of one, and answers a line that is no request without waiting for more.
 *
 * <p>Confined to the I/O thread. Invariants: bytes are passed on in the order in which they arrived; all bytes held
 * before the last read of a head are passed on before those of that read, and these together, so that the server, which
 * completes a head with its last line, never leaves bytes here that belong to a body or a later request.
 */
final class HeadBuffer {

    private static final byte[] NO_BYTES = new byte[0];
    private static final int FIRST_CAPACITY_BYTES = 1_024;

    private byte[] bytes = NO_BYTES;
    private int length;
    private int position;
    /** Where the bytes of the last read begin. */
    private int lastReadStart;
    /** How far bytes may be passed on. */
    private int readyLength;
    /** Whether the bytes so far end with a line feed, apart from carriage returns, so that a line feed ends a head. */
    private boolean atLineStart;

    private boolean afterCarriageReturn;

    /** Returns whether bytes may be passed on. */
    boolean isReady() {
        return position < readyLength;
    }

    /** Returns whether no byte is held. */
    boolean isEmpty() {
        return length == 0;
    }

    /**
     * Looks for the end of a head, an empty line, in bytes that follow those of the calls before. A carriage return
     * without a line feed counts as an end too: the server refuses it.
     *
     * @param received the array that begins with the bytes, not null.
     * @param count the number of bytes.
     * @return whether a head ends in these bytes.
     */
    boolean endsIn(final byte[] received, final int count) {
        boolean ended = false;
        boolean lineStart = atLineStart;
        boolean carriageReturn = afterCarriageReturn;
        for (int index = 0; index < count; index++) {
            byte value = received[index];
            if (value == '\n') {
                ended |= lineStart;
                lineStart = true;
                carriageReturn = false;
            } else {
                ended |= carriageReturn;
                carriageReturn = value == '\r';
                lineStart &= carriageReturn;
            }
        }
        atLineStart = lineStart;
        afterCarriageReturn = carriageReturn;
        return ended;
    }

    /** Notes bytes between two positions that are passed on without being held, since they belong to no head. */
    void skip(final ByteBuffer passed, final int start, final int end) {
        int index = end - 1;
        afterCarriageReturn = passed.get(index) == '\r';
        while (index >= start && passed.get(index) == '\r') {
            index--;
        }
        if (index >= start) {
            atLineStart = passed.get(index) == '\n';
        }
    }

    /**
     * Holds bytes.
     *
     * @param received the array that begins with the bytes, not null.
     * @param count the number of bytes, at least 1.
     * @param headEnds whether a head ends in these bytes.
     */
    void hold(final byte[] received, final int count, final boolean headEnds) {
        boolean first = isEmpty();
        if (length + count > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(FIRST_CAPACITY_BYTES, Math.max(length + count, 2 * bytes.length)));
        }
        System.arraycopy(received, 0, bytes, length, count);
        lastReadStart = length;
        length += count;
        if (headEnds) {
            readyLength = length;
        } else if (first) {
            readyLength = firstLineLength();
        }
    }

    /** Returns the number of bytes up to the end of the first line, or 1 if the line is incomplete. */
    private int firstLineLength() {
        for (int index = 0; index < length; index++) {
            if (bytes[index] == '\n') {
                return index + 1;
            }
        }
        return 1;
    }

    /** Allows to pass on all held bytes, whether their head is complete or not. */
    void release() {
        readyLength = length;
    }

    /** Passes on as many bytes as may be and fit, and returns their number. */
    int moveTo(final ByteBuffer destination) {
        int end = position < lastReadStart ? Math.min(lastReadStart, readyLength) : readyLength;
        int count = Math.min(end - position, destination.remaining());
        destination.put(bytes, position, count);
        position += count;
        if (position == length) {
            clear();
        }
        return count;
    }

    /** Drops all held bytes. */
    void clear() {
        bytes = NO_BYTES;
        length = 0;
        position = 0;
        lastReadStart = 0;
        readyLength = 0;
    }
}
