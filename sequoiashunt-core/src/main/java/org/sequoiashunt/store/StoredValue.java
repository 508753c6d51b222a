package org.sequoiashunt.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;

/**
 * Value read from the store, with its key and revision. Immutable and thread-safe: the bytes are copied when a value is
 * created and when they are read.
 */
public final class StoredValue {

    private final String key;
    private final long revision;
    private final byte[] bytes;

    private StoredValue(final String key, final long revision, final byte[] bytes) {
        this.key = Objects.requireNonNull(key, "key");
        this.revision = revision;
        this.bytes = bytes.clone();
    }

    /**
     * Creates a value.
     *
     * @param key the key, not null.
     * @param revision the revision of the key.
     * @param bytes the bytes, not null.
     * @return the value, never null.
     */
    public static StoredValue of(final String key, final long revision, final byte[] bytes) {
        return new StoredValue(key, revision, bytes);
    }

    /**
     * Returns the key.
     *
     * @return the key, never null.
     */
    public String key() {
        return key;
    }

    /**
     * Returns the revision, which grows with each write of the key.
     *
     * @return the revision.
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the bytes.
     *
     * @return a copy, never null.
     */
    public byte[] bytes() {
        return bytes.clone();
    }

    /**
     * Returns the bytes as UTF-8 text.
     *
     * @return the text, never null.
     */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(final Object other) {
        return other instanceof StoredValue that
                && revision == that.revision
                && key.equals(that.key)
                && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Objects.hash(key, revision, Arrays.hashCode(bytes));
    }

    @Override
    public String toString() {
        return key + "@" + revision + " (" + bytes.length + " bytes)";
    }
}
