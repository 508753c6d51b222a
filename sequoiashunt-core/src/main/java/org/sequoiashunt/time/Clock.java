package org.sequoiashunt.time;

/**
 * Returns the current time; all time-dependent decisions use it.
 *
 * <p>Use {@link #nowMs()} for time stamps and for intervals alike. The value never decreases within one process. It
 * is comparable between processes only within the clock drift that the platform allows.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface Clock {

    /**
     * Returns the current time.
     *
     * @return milliseconds since the epoch, never less than a value returned earlier in the same process.
     */
    long nowMs();
}
