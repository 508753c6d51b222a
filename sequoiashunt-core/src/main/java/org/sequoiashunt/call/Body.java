package org.sequoiashunt.call;

import java.util.Arrays;
import java.util.Objects;

/**
 * Body of an HTTP request or response.
 *
 * <p>Immutable and thread-safe if the arrays passed to {@link #of(byte[])} and returned by {@link #bytes()} are not
 * modified: bodies are not copied on the way from caller to target.
 */
public final class Body {

    /** Body without bytes. */
    public static final Body EMPTY = new Body(new byte[0]);

    private final byte[] bytes;

    private Body(final byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Creates a body that uses the given array without copying it.
     *
     * @param bytes the bytes, not null; must not be modified afterwards.
     * @return the body, never null.
     */
    public static Body of(final byte[] bytes) {
        Objects.requireNonNull(bytes, "bytes");
        return bytes.length == 0 ? EMPTY : new Body(bytes);
    }

    /**
     * Returns the bytes, which must not be modified.
     *
     * @return the array itself, never null.
     */
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the number of bytes.
     *
     * @return the length, zero or more.
     */
    public int length() {
        return bytes.length;
    }

    @Override
    public boolean equals(final Object other) {
        return other instanceof Body that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return bytes.length + " bytes";
    }
}
