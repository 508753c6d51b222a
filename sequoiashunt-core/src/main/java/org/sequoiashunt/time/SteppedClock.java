package org.sequoiashunt.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Clock that only {@link #advance(long)} moves forward, for tests and for simulations of controllers.
 *
 * <p>Create one with {@link #of(long)}.
 *
 * <p>Thread-safe. Invariant: the time never decreases.
 */
public final class SteppedClock implements Clock {

    private final AtomicLong timeMs;

    private SteppedClock(final long startMs) {
        this.timeMs = new AtomicLong(startMs);
    }

    /**
     * Creates a clock.
     *
     * @param startMs the initial time, in milliseconds since the epoch.
     * @return a new clock, never null.
     */
    public static SteppedClock of(final long startMs) {
        return new SteppedClock(startMs);
    }

    /**
     * Moves the clock forward.
     *
     * @param stepMs milliseconds to add, zero or more.
     * @return the new time, in milliseconds since the epoch.
     * @throws IllegalArgumentException if {@code stepMs} is negative.
     */
    public long advance(final long stepMs) {
        if (stepMs < 0) {
            throw new IllegalArgumentException("stepMs must not be negative: " + stepMs);
        }
        return timeMs.addAndGet(stepMs);
    }

    @Override
    public long nowMs() {
        return timeMs.get();
    }
}
