package org.sequoiashunt.trial.process;

import java.util.concurrent.Callable;

/**
 * Polls conditions of running processes until they hold. Not instantiable; thread-safe.
 */
public final class Conditions {

    private static final long POLL_INTERVAL_MS = 20;
    private static final long NANOS_PER_MS = 1_000_000;

    private Conditions() {}

    /**
     * Waits until a condition holds.
     *
     * @param description the condition as named in the exception, not null.
     * @param timeoutMs the longest wait in milliseconds.
     * @param condition the condition; an exception counts as not holding.
     * @return how long it took, in milliseconds.
     * @throws InterruptedException if the thread is interrupted.
     * @throws ConditionException if the condition does not hold in time.
     */
    public static long await(final String description, final long timeoutMs, final Callable<Boolean> condition)
            throws InterruptedException, ConditionException {
        long startNanos = System.nanoTime();
        String lastException = "";
        while (true) {
            try {
                if (condition.call()) {
                    return (System.nanoTime() - startNanos) / NANOS_PER_MS;
                }
            } catch (InterruptedException exception) {
                throw exception;
            } catch (Exception exception) {
                lastException = ": " + exception;
            }
            if ((System.nanoTime() - startNanos) / NANOS_PER_MS > timeoutMs) {
                throw new ConditionException(description + " not within " + timeoutMs + " ms" + lastException);
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Reports a condition that did not hold in time. */
    public static final class ConditionException extends Exception {

        private static final long serialVersionUID = 1L;

        ConditionException(final String message) {
            super(message);
        }
    }
}
