package org.sequoiashunt.call;

/**
 * Why a call ended as it did, with the HTTP status that tells the caller.
 *
 * <p>Immutable and thread-safe. The order of the constants is part of the wire protocol.
 */
public enum Reason {
    /** The target answered; the status is the target's own. */
    ANSWERED(200, "answered", true),
    /** No route matches the request. */
    NO_ROUTE(404, "no route matches", false),
    /** No target of the chosen version takes work. */
    NO_TARGET(503, "no target available", true),
    /** The queue in front of the target is full. */
    QUEUE_FULL(503, "queue full", true),
    /** The call could not start before its deadline. */
    DEADLINE(504, "deadline exceeded", false),
    /** The node or its target is leaving. */
    DRAINING(503, "draining", true),
    /** The caller gave up. */
    CANCELLED(499, "cancelled", false),
    /** The connection to the target or its node failed. */
    CONNECTION_FAILED(502, "connection failed", true),
    /** The target sent something that is not a whole answer. */
    BAD_ANSWER(502, "invalid answer", false),
    /** The body exceeds the bound. */
    TOO_LARGE(413, "body too large", false),
    /** The request crashed targets before. */
    QUARANTINED(422, "quarantined", false),
    /** An earlier call with the same key is still running. */
    IN_PROGRESS(409, "in progress", true),
    /** The key was used before, and the answer of that call is not known. */
    ALREADY_CLAIMED(409, "already claimed", false),
    /** Too few nodes could confirm that the key is new. */
    CLAIM_UNAVAILABLE(503, "claim unavailable", true),
    /** The node has no configuration yet. */
    NOT_READY(503, "not ready", true),
    /** The target sheds load. */
    SHED(503, "target overloaded", true);

    private final int status;
    private final String text;
    private final boolean transientCondition;

    Reason(final int status, final String text, final boolean transientCondition) {
        this.status = status;
        this.text = text;
        this.transientCondition = transientCondition;
    }

    /**
     * Returns the HTTP status for a call that ended without a target's answer.
     *
     * @return the status.
     */
    public int status() {
        return status;
    }

    /**
     * Returns a short text for callers and logs.
     *
     * @return the text, never null.
     */
    public String text() {
        return text;
    }

    /**
     * Tells whether a later attempt may succeed.
     *
     * @return true if a Retry-After header makes sense.
     */
    public boolean isTransient() {
        return transientCondition;
    }
}
