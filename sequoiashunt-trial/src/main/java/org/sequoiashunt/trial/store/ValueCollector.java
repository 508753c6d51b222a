package org.sequoiashunt.trial.store;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.sequoiashunt.store.Store;

/**
 * Collects the bytes of a value as they arrive. Bytes beyond the maximum value size are counted and dropped, so that
 * the sender can read why the value was refused. Confined to the I/O thread of one connection.
 */
final class ValueCollector {

    /** The connection of a sender that exceeds this number of bytes is closed. */
    private static final long MAXIMUM_DROPPED_BYTES = 8L * Store.MAXIMUM_VALUE_BYTES;

    private final ByteArrayOutputStream valueBytes = new ByteArrayOutputStream();
    private long receivedBytes;

    void add(final byte[] chunk) {
        receivedBytes += chunk.length;
        if (receivedBytes <= Store.MAXIMUM_VALUE_BYTES) {
            valueBytes.writeBytes(chunk);
        }
    }

    boolean exceedsDropLimit() {
        return receivedBytes > MAXIMUM_DROPPED_BYTES;
    }

    /** Returns the value, or empty if it is too large. */
    Optional<byte[]> value() {
        return receivedBytes <= Store.MAXIMUM_VALUE_BYTES ? Optional.of(valueBytes.toByteArray()) : Optional.empty();
    }
}
