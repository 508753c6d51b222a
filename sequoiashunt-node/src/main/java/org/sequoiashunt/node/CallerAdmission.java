package org.sequoiashunt.node;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.Reason;

/**
 * Limits the callers' requests in progress on the node, by their number and by the bytes of their bodies, and refuses
 * new ones while the node drains.
 *
 * <p>Thread-safe: synchronized on this object. Invariant: the admitted requests never exceed either limit.
 */
public final class CallerAdmission {

    private static final int MAXIMUM_REQUESTS = 1_024;

    /** A node has 40 MB of heap, and each body is in memory twice: at the entry and on its way to the gate. */
    private static final long MAXIMUM_BYTES = 8_388_608;

    private final int maximumRequests;
    private final long maximumBytes;
    private final CompletableFuture<Void> drainCompletion = new CompletableFuture<>();
    private int admittedRequests;
    private long admittedBytes;
    private boolean draining;

    /**
     * Creates an admission.
     *
     * @param maximumRequests the largest number of requests in progress, positive.
     * @param maximumBytes the largest total of their bodies in bytes, positive.
     * @throws IllegalArgumentException if a limit is not positive.
     */
    public CallerAdmission(final int maximumRequests, final long maximumBytes) {
        if (maximumRequests < 1 || maximumBytes < 1) {
            throw new IllegalArgumentException("bounds must be positive: " + maximumRequests + ", " + maximumBytes);
        }
        this.maximumRequests = maximumRequests;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Creates an admission with the default limits of a node.
     *
     * @return the admission, never null.
     */
    public static CallerAdmission withDefaultLimits() {
        return new CallerAdmission(MAXIMUM_REQUESTS, MAXIMUM_BYTES);
    }

    /**
     * Admits a request, or refuses it.
     *
     * @param bytes the largest possible size of its body in bytes, zero or more.
     * @return empty if the request was admitted; {@link #release} must follow. Otherwise the reason for the refusal.
     */
    public synchronized Optional<Reason> tryAdmit(final long bytes) {
        if (draining) {
            return Optional.of(Reason.DRAINING);
        }
        if (admittedRequests >= maximumRequests || admittedBytes + bytes > maximumBytes) {
            return Optional.of(Reason.QUEUE_FULL);
        }
        admittedRequests++;
        admittedBytes += bytes;
        return Optional.empty();
    }

    /**
     * Releases an admitted request.
     *
     * @param bytes the bytes given to {@link #tryAdmit} for it.
     */
    public synchronized void release(final long bytes) {
        admittedRequests--;
        admittedBytes -= bytes;
        completeIfDrained();
    }

    /**
     * Refuses new requests from this call on.
     *
     * @return completes when no admitted request is left.
     */
    public synchronized CompletableFuture<Void> drain() {
        draining = true;
        completeIfDrained();
        return drainCompletion;
    }

    /**
     * Returns the number of admitted requests that are not released.
     *
     * @return zero or more.
     */
    public synchronized int admittedRequests() {
        return admittedRequests;
    }

    private void completeIfDrained() {
        if (draining && admittedRequests == 0) {
            drainCompletion.complete(null);
        }
    }
}
