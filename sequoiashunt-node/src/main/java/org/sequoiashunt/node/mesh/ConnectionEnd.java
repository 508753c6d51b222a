package org.sequoiashunt.node.mesh;

/** Reasons for which a connection to a target is closed. Immutable and thread-safe. */
enum ConnectionEnd {
    /** It was idle for too long, or the target closed it while it was idle. */
    IDLE("idle", false),
    /** The answer, or the request that was not written completely, does not allow another request. */
    NOT_PERSISTENT("not-persistent", false),
    /** It has carried as many requests as it may. */
    REQUEST_LIMIT("request-limit", false),
    /** The request was cancelled. */
    CANCELLED("cancelled", false),
    /** The request reached its deadline without an answer. */
    DEADLINE("deadline", true),
    /** The target sent nothing for far longer than it takes, and the request was given up. */
    SILENT("silent", true),
    /** The target closed or reset it while a request waited for its answer. */
    LOST("lost", true),
    /** Bytes that are no answer to the request that waits. */
    INVALID_ANSWER("invalid-answer", true),
    /** Bytes arrived while no request waited. */
    UNEXPECTED_BYTES("unexpected-bytes", true);

    private final String label;
    private final boolean abnormal;

    ConnectionEnd(final String label, final boolean abnormal) {
        this.label = label;
        this.abnormal = abnormal;
    }

    String label() {
        return label;
    }

    /** Returns whether the end is worth a line in the log. */
    boolean isAbnormal() {
        return abnormal;
    }
}
