package org.sequoiashunt.link;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the bytes that all connections of an event loop hold together for one purpose.
 *
 * <p>If the limit is exceeded, the connection whose bytes weigh most by their number and the time they have been held
 * is closed, until the others fit. So a connection that holds many bytes or holds them for long is closed before one
 * that is being served as usual.
 *
 * <p>Confined to the event loop. Invariant: after each method, the bytes of all holders do not exceed the limit.
 */
final class ConnectionBudget {

    private final long maximumBytes;
    private final Map<Holder, Held> held = new HashMap<>();
    private long totalBytes;

    ConnectionBudget(final long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Updates the bytes of a connection, and closes connections while the limit is exceeded.
     *
     * @param holder the connection, which may be closed by this call.
     * @param bytes the bytes that it holds, zero or more.
     * @param sinceMs the time since when it has held them without progress, in milliseconds.
     * @param nowMs the current time in milliseconds.
     */
    void update(final Holder holder, final long bytes, final long sinceMs, final long nowMs) {
        remove(holder);
        if (bytes > 0) {
            held.put(holder, new Held(bytes, sinceMs));
            totalBytes += bytes;
        }
        while (totalBytes > maximumBytes) {
            Holder heaviest = heaviest(nowMs);
            remove(heaviest);
            heaviest.closeOverBudget();
        }
    }

    void remove(final Holder holder) {
        Held removed = held.remove(holder);
        totalBytes -= removed == null ? 0 : removed.bytes();
    }

    long totalBytes() {
        return totalBytes;
    }

    private Holder heaviest(final long nowMs) {
        return held.entrySet().stream()
                .max(Map.Entry.comparingByValue(
                        (first, second) -> Long.compare(first.weight(nowMs), second.weight(nowMs))))
                .orElseThrow()
                .getKey();
    }

    /** Connection that holds bytes. */
    @FunctionalInterface
    interface Holder {

        /** Closes the connection, which releases its bytes. */
        void closeOverBudget();
    }

    /** Bytes of one holder. */
    private record Held(long bytes, long sinceMs) {

        private long weight(final long nowMs) {
            return bytes * (nowMs - sinceMs + 1);
        }
    }
}
