package org.sequoiashunt.node;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.Reason;

/**
 * Bounds the callers' requests that the node holds at a time, by number and by bytes of their bodies, and ends new ones
 * when the node leaves.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: what is held is never above the bounds.
 */
public final class CallerAdmission {

    private static final int MAXIMUM_REQUESTS = 1_024;

    /** A node has 40 MB of heap; bodies are held once by the entry and once on their way to the gate. */
    private static final long MAXIMUM_BYTES = 8_388_608;

    private final int maximum;
    private final long maximumBytes;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private int held;
    private long heldBytes;
    private boolean draining;

    /**
     * Creates an admission.
     *
     * @param maximum the most requests at a time, positive.
     * @param maximumBytes the most bytes of bodies at a time, positive.
     * @throws IllegalArgumentException if a bound is not positive.
     */
    public CallerAdmission(final int maximum, final long maximumBytes) {
        if (maximum < 1 || maximumBytes < 1) {
            throw new IllegalArgumentException("bounds must be positive: " + maximum + ", " + maximumBytes);
        }
        this.maximum = maximum;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Creates an admission with the bounds of a node.
     *
     * @return the admission, never null.
     */
    public static CallerAdmission standard() {
        return new CallerAdmission(MAXIMUM_REQUESTS, MAXIMUM_BYTES);
    }

    /**
     * Takes a request in.
     *
     * @param bytes the most bytes that its body can have, zero or more.
     * @return empty if the request was taken in; {@link #leave} must follow. Otherwise the reason for the refusal.
     */
    public synchronized Optional<Reason> enter(final long bytes) {
        if (draining) {
            return Optional.of(Reason.DRAINING);
        }
        if (held >= maximum || heldBytes + bytes > maximumBytes) {
            return Optional.of(Reason.QUEUE_FULL);
        }
        held++;
        heldBytes += bytes;
        return Optional.empty();
    }

    /**
     * Lets a request go that was taken in.
     *
     * @param bytes the bytes given when it was taken in.
     */
    public synchronized void leave(final long bytes) {
        held--;
        heldBytes -= bytes;
        completeIfDrained();
    }

    /**
     * Ends new requests.
     *
     * @return completes when no request is held.
     */
    public synchronized CompletableFuture<Void> drain() {
        draining = true;
        completeIfDrained();
        return drained;
    }

    /**
     * Counts the requests held.
     *
     * @return the number.
     */
    public synchronized int held() {
        return held;
    }

    private void completeIfDrained() {
        if (draining && held == 0) {
            drained.complete(null);
        }
    }
}
