package org.sequoiashunt.call;

/**
 * Whether the target ran a call, as far as the sender can determine.
 *
 * <p>Immutable and thread-safe. The order of the constants is part of the wire protocol.
 */
public enum Outcome {
    /** The target ran the call and its complete response was received. */
    COMPLETE("complete"),
    /** The target has not run the call and will not run it. */
    NOT_RUN("not-run"),
    /** The target may have run the call, or may still run it. */
    UNKNOWN("unknown");

    private final String headerValue;

    Outcome(final String headerValue) {
        this.headerValue = headerValue;
    }

    /**
     * Returns the value sent to callers in the outcome header.
     *
     * @return the value, never null.
     */
    public String headerValue() {
        return headerValue;
    }

    /**
     * Tells whether the call may be sent again without the risk of a harmful second run.
     *
     * @param idempotent whether running the call twice does no harm.
     * @return true if the call may be sent to a target again.
     */
    public boolean permitsRetry(final boolean idempotent) {
        return this == NOT_RUN || this == UNKNOWN && idempotent;
    }
}
