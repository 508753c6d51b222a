package org.sequoiashunt.call;

import java.util.Objects;
import java.util.Optional;

/**
 * How one attempt ended.
 *
 * <p>Immutable and thread-safe. Invariant: an answer is present exactly if the outcome is
 * {@link Outcome#COMPLETE}.
 *
 * @param outcome what is known about the run.
 * @param reason why it ended so.
 * @param answer the target's answer.
 * @param load requests running and waiting at the gate when it answered, zero if not known.
 * @param waitMs how long a call refused for want of a slot would have waited, in milliseconds, zero if not known.
 */
public record CallResult(Outcome outcome, Reason reason, Optional<CallResponse> answer, int load, long waitMs) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the answer does not fit the outcome.
     */
    public CallResult {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(reason, "reason");
        if (answer.isPresent() != (outcome == Outcome.COMPLETE)) {
            throw new IllegalArgumentException("answer and outcome do not fit: " + outcome);
        }
        if (waitMs < 0) {
            throw new IllegalArgumentException("waitMs must not be negative: " + waitMs);
        }
    }

    /**
     * Creates the result of a call that the target answered.
     *
     * @param answer the answer, not null.
     * @return the result, never null.
     */
    public static CallResult complete(final CallResponse answer) {
        return new CallResult(Outcome.COMPLETE, Reason.ANSWERED, Optional.of(answer), 0, 0);
    }

    /**
     * Creates the result of a call that was not run and never will be.
     *
     * @param reason the reason, not null.
     * @return the result, never null.
     */
    public static CallResult notRun(final Reason reason) {
        return new CallResult(Outcome.NOT_RUN, reason, Optional.empty(), 0, 0);
    }

    /**
     * Creates the result of a call that may have been run.
     *
     * @param reason the reason, not null.
     * @return the result, never null.
     */
    public static CallResult unknown(final Reason reason) {
        return new CallResult(Outcome.UNKNOWN, reason, Optional.empty(), 0, 0);
    }

    /**
     * Returns this result with the gate's load.
     *
     * @param newLoad requests running and waiting at the gate.
     * @return the result, never null.
     */
    public CallResult withLoad(final int newLoad) {
        return new CallResult(outcome, reason, answer, newLoad, waitMs);
    }

    /**
     * Returns this result with the wait that the gate expected.
     *
     * @param newWaitMs the wait in milliseconds, zero or more.
     * @return the result, never null.
     */
    public CallResult withWait(final long newWaitMs) {
        return new CallResult(outcome, reason, answer, load, newWaitMs);
    }
}
