package org.sequoiashunt.call;

import java.util.Objects;
import java.util.Optional;

/**
 * Result of one attempt to run a call.
 *
 * <p>Immutable and thread-safe. Invariant: a response is present exactly if the outcome is
 * {@link Outcome#COMPLETE}.
 *
 * @param outcome whether the target ran the call.
 * @param reason why the attempt ended with this outcome.
 * @param response the target's response, empty unless the outcome is {@link Outcome#COMPLETE}.
 * @param load the number of requests running and waiting at the gate when it replied, zero if unknown.
 * @param expectedWaitMs the wait that the gate expected for a call refused for lack of a slot, in milliseconds, zero if
 *     unknown.
 */
public record CallResult(
        Outcome outcome, Reason reason, Optional<CallResponse> response, int load, long expectedWaitMs) {

    private static final int LOWEST_FAILURE_STATUS = 500;

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if a response is present for an outcome other than {@link Outcome#COMPLETE} or
     *     missing for that outcome, or if the expected wait is negative.
     */
    public CallResult {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(reason, "reason");
        if (response.isPresent() != (outcome == Outcome.COMPLETE)) {
            throw new IllegalArgumentException(
                    "response must be present exactly if the outcome is COMPLETE, outcome: " + outcome);
        }
        if (expectedWaitMs < 0) {
            throw new IllegalArgumentException("expectedWaitMs must not be negative: " + expectedWaitMs);
        }
    }

    /**
     * Creates the result of a call to which the target responded.
     *
     * @param response the response, not null.
     * @return the result, never null.
     */
    public static CallResult complete(final CallResponse response) {
        return new CallResult(Outcome.COMPLETE, Reason.ANSWERED, Optional.of(response), 0, 0);
    }

    /**
     * Creates the result of a call that was not run and will not be run.
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
     * Returns a copy of this result with the gate's load.
     *
     * @param newLoad the number of requests running and waiting at the gate.
     * @return the result, never null.
     */
    public CallResult withLoad(final int newLoad) {
        return new CallResult(outcome, reason, response, newLoad, expectedWaitMs);
    }

    /**
     * Returns a copy of this result with the wait that the gate expected.
     *
     * @param newExpectedWaitMs the wait in milliseconds, zero or more.
     * @return the result, never null.
     */
    public CallResult withExpectedWait(final long newExpectedWaitMs) {
        return new CallResult(outcome, reason, response, load, newExpectedWaitMs);
    }

    /**
     * Returns whether the result counts as a failure of the target.
     *
     * @return true if the response's status is {@value #LOWEST_FAILURE_STATUS} or higher, or the call was refused or
     *     interrupted, so that its outcome is not {@link Outcome#COMPLETE}.
     */
    public boolean isFailure() {
        boolean failedResponse = response.map(CallResponse::status)
                .filter(status -> status >= LOWEST_FAILURE_STATUS)
                .isPresent();
        return failedResponse || outcome != Outcome.COMPLETE;
    }
}
