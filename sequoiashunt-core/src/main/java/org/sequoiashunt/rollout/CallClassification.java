package org.sequoiashunt.rollout;

import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;

/**
 * Classifies a finished call as a success or failure of the target version it was sent to, or as neither. Immutable
 * and thread-safe.
 */
public enum CallClassification {
    /** The target answered with a status other than a server error. */
    SUCCESS,
    /**
     * The target answered with a server error, answered invalidly, refused the call, missed the deadline, or its
     * connection failed.
     */
    FAILURE,
    /** The result gives no evidence about the target version, such as that of a call cancelled by its caller. */
    IGNORED;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /**
     * Classifies a call.
     *
     * @param result how the call ended, not null.
     * @return the classification, never null.
     */
    public static CallClassification of(final CallResult result) {
        if (result.outcome() == Outcome.COMPLETE) {
            boolean serverError = result.response().orElseThrow().status() >= FIRST_SERVER_ERROR_STATUS;
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
