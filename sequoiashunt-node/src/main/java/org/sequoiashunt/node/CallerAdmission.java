package org.sequoiashunt.node;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.Reason;

/**
 * Bounds the callers' requests that the node holds at a time, and ends new ones when the node leaves.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: the number held is never above the bound.
 */
public final class CallerAdmission {

    private final int maximum;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private int held;
    private boolean draining;

    /**
     * Creates an admission.
     *
     * @param maximum the most requests at a time, positive.
     * @throws IllegalArgumentException if the bound is not positive.
     */
    public CallerAdmission(final int maximum) {
        if (maximum < 1) {
            throw new IllegalArgumentException("maximum must be positive: " + maximum);
        }
        this.maximum = maximum;
    }

    /**
     * Takes a request in.
     *
     * @return empty if the request was taken in; {@link #leave()} must follow. Otherwise the reason for the refusal.
     */
    public synchronized Optional<Reason> enter() {
        if (draining) {
            return Optional.of(Reason.DRAINING);
        }
        if (held >= maximum) {
            return Optional.of(Reason.QUEUE_FULL);
        }
        held++;
        return Optional.empty();
    }

    /** Lets a request go that was taken in. */
    public synchronized void leave() {
        held--;
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
