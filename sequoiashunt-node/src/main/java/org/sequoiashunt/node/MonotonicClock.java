package org.sequoiashunt.node;

import java.util.concurrent.TimeUnit;
import org.sequoiashunt.time.Clock;

/**
 * Clock of a running process: the wall clock at its creation plus the time that has passed since.
 *
 * <p>Immutable and thread-safe. Invariant: never goes back, also when the wall clock is set.
 */
public final class MonotonicClock implements Clock {

    private final long startMs;
    private final long startNanos;

    /** Creates a clock that starts at the wall clock's time. */
    public MonotonicClock() {
        this.startMs = System.currentTimeMillis();
        this.startNanos = System.nanoTime();
    }

    @Override
    public long nowMs() {
        return startMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
