package org.sequoiashunt.http;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Bounds the memory that all responses of one client take together until they are used. When it is exhausted, the
 * incomplete response that takes most of it is given up, so that small ones still arrive while others have no end.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: the shares never hold more than the limit.
 */
public final class ResponseMemory {

    private final long limitBytes;
    private final Set<Share> shares = new HashSet<>();
    private long heldBytes;

    /**
     * Creates the memory.
     *
     * @param limitBytes the limit, in bytes, positive.
     */
    public ResponseMemory(final long limitBytes) {
        if (limitBytes < 1) {
            throw new IllegalArgumentException("limitBytes must be positive: " + limitBytes);
        }
        this.limitBytes = limitBytes;
    }

    /**
     * Opens the share of one response.
     *
     * @param onRevoked runs on the thread of another response if this one is given up for it, not null; must not block.
     * @return the share, never null; close it when the response ends.
     */
    Share open(final Runnable onRevoked) {
        return new Share(Objects.requireNonNull(onRevoked, "onRevoked"));
    }

    synchronized long heldBytes() {
        return heldBytes;
    }

    private synchronized Set<Share> reserve(final Share requester, final int bytes) throws ResponseTooLargeException {
        if (requester.released || requester.bytes + bytes > limitBytes) {
            throw exhausted();
        }
        Set<Share> revoked = new HashSet<>();
        while (heldBytes + bytes > limitBytes) {
            Share largest = requester;
            for (Share share : shares) {
                if (!share.retained && share.bytes > largest.bytes) {
                    largest = share;
                }
            }
            if (largest == requester) {
                throw exhausted();
            }
            release(largest);
            revoked.add(largest);
        }
        shares.add(requester);
        requester.bytes += bytes;
        heldBytes += bytes;
        return revoked;
    }

    private ResponseTooLargeException exhausted() {
        return new ResponseTooLargeException("responses exceed " + limitBytes + " bytes in total");
    }

    private synchronized boolean retain(final Share share) {
        share.retained = true;
        return !share.released;
    }

    private synchronized void release(final Share share) {
        if (!share.released) {
            share.released = true;
            shares.remove(share);
            heldBytes -= share.bytes;
        }
    }

    /** Memory of one response. Thread-safe. */
    final class Share implements AutoCloseable {

        private final Runnable onRevoked;
        private long bytes;
        private boolean retained;
        private boolean released;

        private Share(final Runnable onRevoked) {
            this.onRevoked = onRevoked;
        }

        /**
         * Reserves memory.
         *
         * @param count the number of bytes, zero or more.
         * @throws ResponseTooLargeException if the memory is exhausted and no other response takes more of it, or if
         *     this share was revoked or closed.
         */
        void reserve(final int count) throws ResponseTooLargeException {
            ResponseMemory.this.reserve(this, count).forEach(share -> share.onRevoked.run());
        }

        /**
         * Keeps the memory until this share is closed, as the response is complete.
         *
         * @return false if the share was revoked before.
         */
        boolean retain() {
            return ResponseMemory.this.retain(this);
        }

        @Override
        public void close() {
            release(this);
        }
    }
}
