package org.sequoiashunt.commit;

import java.util.concurrent.TimeUnit;
import org.sequoiashunt.time.Clock;

/**
 * Clock of the VM: the time of day at the start of the process, advanced by the monotonic timer.
 *
 * <p>Create one per process and share it. Thread-safe and immutable. Invariant: the time never decreases,
 * even if the time of day of the machine is set back while the process runs.
 */
public final class SystemClock implements Clock {

    private final long startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    private SystemClock() {}

    /**
     * Creates a clock that starts at the VM's time of day.
     *
     * @return a new clock, never null.
     */
    public static SystemClock start() {
        return new SystemClock();
    }

    @Override
    public long nowMs() {
        return startMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
