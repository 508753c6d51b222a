package org.sequoiashunt.rollout;

import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;

/**
 * What the end of a call says about the target version that was asked to run it. Immutable and thread-safe.
 */
public enum CallClassification {
    /** The target answered, and not with a server error. */
    SUCCESS,
    /** The target answered with a server error, refused, broke off or did not answer in time. */
    FAILURE,
    /** The call says nothing about the target version, such as one that its caller cancelled. */
    IGNORED;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /**
     * Judges a call.
     *
     * @param result how the call ended, not null.
     * @return the verdict, never null.
     */
    public static CallClassification of(final CallResult result) {
        if (result.outcome() == Outcome.COMPLETE) {
            boolean serverError = result.answer().orElseThrow().status() >= FIRST_SERVER_ERROR_STATUS;
            return serverError ? FAILURE : SUCCESS;
        }
        return ofReason(result.reason());
    }

    private static CallClassification ofReason(final Reason reason) {
        return switch (reason) {
            case CONNECTION_FAILED, BAD_ANSWER, DEADLINE, QUEUE_FULL, SHED -> FAILURE;
            default -> IGNORED;
        };
    }
}
