package org.sequoiashunt.commit;

import java.util.Objects;
import java.util.random.RandomGenerator;
import org.sequoiashunt.store.StoreConflictException;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.time.Clock;

/**
 * Repeats idempotent calls to the store with exponential backoff and full jitter until a time budget is spent.
 *
 * <p>One instance serves one operation: the budget starts at {@link #start} and all calls of the operation share it. A
 * call that ended in a conflict was answered and is never repeated. Confined to one thread.
 */
public final class StoreRetry {

    private static final long INITIAL_BACKOFF_MS = 50;
    private static final long MAXIMUM_BACKOFF_MS = 1_000;

    private final Clock clock;
    private final RandomGenerator random;
    private final Pause pause;
    private final long deadlineMs;

    private StoreRetry(final Clock clock, final RandomGenerator random, final Pause pause, final long budgetMs) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.pause = Objects.requireNonNull(pause, "pause");
        this.deadlineMs = clock.nowMs() + budgetMs;
    }

    /**
     * Starts the time budget of an operation.
     *
     * @param clock the clock, not null.
     * @param random the source of jitter, not null.
     * @param pause waits between two attempts, not null.
     * @param budgetMs the time after which no call is repeated, in milliseconds, zero or more.
     * @return a new instance, never null.
     */
    public static StoreRetry start(
            final Clock clock, final RandomGenerator random, final Pause pause, final long budgetMs) {
        if (budgetMs < 0) {
            throw new IllegalArgumentException("budgetMs must not be negative: " + budgetMs);
        }
        return new StoreRetry(clock, random, pause, budgetMs);
    }

    /**
     * Makes a call and repeats it until the store answers or the budget is spent.
     *
     * @param <T> the type of the answer.
     * @param <X> the type of the other exception that the call may throw.
     * @param call the call, not null.
     * @return the answer.
     * @throws StoreConflictException if an attempt ends in a conflict; it is not repeated.
     * @throws StoreException if the budget is spent; {@link StoreException#mayHaveTakenEffect()} tells whether one of
     *     the attempts may have taken effect.
     * @throws X if an attempt throws it; the call is not repeated.
     */
    public <T, X extends Exception> T call(final StoreCall<T, X> call) throws StoreException, X {
        boolean effectPossible = false;
        for (int attempt = 0; ; attempt++) {
            try {
                return call.run();
            } catch (StoreConflictException conflict) {
                throw conflict;
            } catch (StoreException exception) {
                effectPossible |= exception.mayHaveTakenEffect();
                if (!pauseBeforeRetry(attempt)) {
                    throw new StoreException(exception.getMessage(), effectPossible, exception);
                }
            }
        }
    }

    private boolean pauseBeforeRetry(final int attempt) {
        long maximumPauseMs = Math.min(MAXIMUM_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(attempt, 10));
        long pauseMs = 1 + random.nextLong(maximumPauseMs);
        if (clock.nowMs() + pauseMs > deadlineMs) {
            return false;
        }
        try {
            pause.pause(pauseMs);
            return true;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * One call to the store.
     *
     * @param <T> the type of the answer.
     * @param <X> the type of the other exception that the call may throw.
     */
    @FunctionalInterface
    public interface StoreCall<T, X extends Exception> {

        /**
         * Makes the call.
         *
         * @return the answer.
         * @throws StoreException if the store did not answer or refused.
         * @throws X if the answer cannot be used.
         */
        T run() throws StoreException, X;
    }

    /** Waits between two attempts. */
    @FunctionalInterface
    public interface Pause {

        /**
         * Blocks the thread for the given time.
         *
         * @param durationMs the time to wait, in milliseconds, positive.
         * @throws InterruptedException if the thread was interrupted.
         */
        void pause(long durationMs) throws InterruptedException;
    }
}
