package org.sequoiashunt.trial.store;

import java.util.Objects;
import org.sequoiashunt.store.MemoryStore;

/**
 * Switches for the faults that the fake store injects. All are off initially.
 *
 * <p>Thread-safe: each switch is read and written independently of the others.
 */
public final class StoreFaults {

    private final MemoryStore store;
    private volatile boolean down;
    private volatile boolean silent;
    private volatile int latencyMs;

    StoreFaults(final MemoryStore store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Switches an outage on or off in which every call is refused with status 503 and no effect.
     *
     * @param newDown true to start it.
     */
    public void setDown(final boolean newDown) {
        down = newDown;
    }

    /**
     * Switches an outage on or off in which calls are accepted but never answered and have no effect.
     *
     * @param newSilent true to start it.
     */
    public void setSilent(final boolean newSilent) {
        silent = newSilent;
    }

    /**
     * Delays each call, before its effect.
     *
     * @param newLatencyMs the delay in milliseconds, zero for none.
     * @throws IllegalArgumentException if the delay is negative.
     */
    public void setLatencyMs(final int newLatencyMs) {
        if (newLatencyMs < 0) {
            throw new IllegalArgumentException("latencyMs must not be negative: " + newLatencyMs);
        }
        latencyMs = newLatencyMs;
    }

    /**
     * Lets the next writes and lease calls take effect and closes their connections without an answer.
     *
     * @param count the number of calls whose answers are lost; zero stops the loss.
     */
    public void loseAnswers(final int count) {
        store.loseNextWriteAnswers(count);
    }

    /** Ends all leases at once. */
    public void expireLeases() {
        store.expireLeases();
    }

    boolean isDown() {
        return down;
    }

    boolean isSilent() {
        return silent;
    }

    int latencyMs() {
        return latencyMs;
    }
}
