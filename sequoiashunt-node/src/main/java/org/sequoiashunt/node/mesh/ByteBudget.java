package org.sequoiashunt.node.mesh;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that several exchanges use together.
 *
 * <p>Thread-safe. Invariant: the reserved bytes never exceed the limit, provided that each holder releases what it has
 * reserved, once.
 */
final class ByteBudget {

    private final long limitBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param limitBytes the largest number of bytes reserved at a time, at least 1.
     * @throws IllegalArgumentException if the limit is not positive.
     */
    ByteBudget(final long limitBytes) {
        if (limitBytes < 1) {
            throw new IllegalArgumentException("the limit must be positive: " + limitBytes);
        }
        this.limitBytes = limitBytes;
    }

    /** Reserves bytes and returns true, or reserves none and returns false if they would exceed the limit. */
    boolean tryReserve(final long bytes) {
        long reserved = reservedBytes.get();
        while (reserved + bytes <= limitBytes) {
            if (reservedBytes.compareAndSet(reserved, reserved + bytes)) {
                return true;
            }
            reserved = reservedBytes.get();
        }
        return false;
    }

    /** Returns reserved bytes to the budget. */
    void release(final long bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    /** Returns the number of reserved bytes. */
    long reservedBytes() {
        return reservedBytes.get();
    }
}
