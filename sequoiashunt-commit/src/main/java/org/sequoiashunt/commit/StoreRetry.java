package org.sequoiashunt.commit;

import java.util.Objects;
import java.util.random.RandomGenerator;
import org.sequoiashunt.store.StoreConflictException;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.time.Clock;

/**
 * Repeats calls to the store that are harmless to repeat, with full jitter, until a time budget is spent.
 *
 * <p>One instance serves one operation: the budget starts at {@link #start} and is shared by all its calls. A conflict
 * is an answer and is never repeated. Confined to one thread.
 */
public final class StoreRetry {

    private static final long FIRST_PAUSE_MS = 50;
    private static final long LONGEST_PAUSE_MS = 1_000;

    private final Clock clock;
    private final RandomGenerator random;
    private final Pause pause;
    private final long endMs;

    private StoreRetry(final Clock clock, final RandomGenerator random, final Pause pause, final long budgetMs) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.pause = Objects.requireNonNull(pause, "pause");
        this.endMs = clock.nowMs() + budgetMs;
    }

    /**
     * Starts a budget.
     *
     * @param clock the clock, not null.
     * @param random the source of jitter, not null.
     * @param pause how to wait, not null.
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
     * Makes a call, again and again while the store does not answer and the budget lasts.
     *
     * @param <T> the type of the answer.
     * @param <X> the type of the other exception that the call may throw.
     * @param call the call, not null.
     * @return the answer.
     * @throws StoreConflictException as soon as a call ends so.
     * @throws StoreException if the budget is spent; {@link StoreException#mayHaveTakenEffect()} tells whether one of
     *     the calls may have taken effect.
     * @throws X as soon as a call ends so.
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
                if (!pauseBeforeRepeat(attempt)) {
                    throw new StoreException(exception.getMessage(), effectPossible, exception);
                }
            }
        }
    }

    private boolean pauseBeforeRepeat(final int attempt) {
        long ceilingMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS << Math.min(attempt, 10));
        long pauseMs = 1 + random.nextLong(ceilingMs);
        if (clock.nowMs() + pauseMs > endMs) {
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
         * @throws X if the answer is of no use.
         */
        T run() throws StoreException, X;
    }

    /** Waits for a while. */
    @FunctionalInterface
    public interface Pause {

        /**
         * Waits.
         *
         * @param durationMs how long, in milliseconds, positive.
         * @throws InterruptedException if the thread was interrupted.
         */
        void pause(long durationMs) throws InterruptedException;
    }
}
