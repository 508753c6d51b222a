package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits lists so that each message stays below a bounded size. Not instantiable; thread-safe.
 */
final class MessageSplitter {

    /** Largest message, in bytes, unless a single item is larger. */
    static final int MAXIMUM_MESSAGE_BYTES = 32_768;

    private MessageSplitter() {}

    /** Splits a list in order. An item that is larger than a message stands alone. */
    static <T> List<List<T>> split(final List<T> items) {
        List<List<T>> chunks = new ArrayList<>();
        List<T> chunk = new ArrayList<>();
        int chunkBytes = 0;
        for (T item : items) {
            int bytes = WireSizeEstimator.estimate(item);
            if (!chunk.isEmpty() && chunkBytes + bytes > MAXIMUM_MESSAGE_BYTES) {
                chunks.add(chunk);
                chunk = new ArrayList<>();
                chunkBytes = 0;
            }
            chunk.add(item);
            chunkBytes += bytes;
        }
        if (!chunk.isEmpty()) {
            chunks.add(chunk);
        }
        return chunks;
    }
}
