package org.sequoiashunt.trial.store;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.sequoiashunt.store.Store;

/**
 * Collects the bytes of a value as they arrive. Bytes beyond the largest value are counted and dropped, so that the
 * sender can read why it was refused. Confined to the I/O thread of one connection.
 */
final class ValueCollector {

    /** A sender that goes on after this many bytes is cut off. */
    private static final long MAXIMUM_DROPPED_BYTES = 8L * Store.MAXIMUM_VALUE_BYTES;

    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private long received;

    void add(final byte[] chunk) {
        received += chunk.length;
        if (received <= Store.MAXIMUM_VALUE_BYTES) {
            kept.writeBytes(chunk);
        }
    }

    boolean isEndless() {
        return received > MAXIMUM_DROPPED_BYTES;
    }

    /** Returns the value, or empty if it is too large. */
    Optional<byte[]> value() {
        return received <= Store.MAXIMUM_VALUE_BYTES ? Optional.of(kept.toByteArray()) : Optional.empty();
    }
}
