package org.sequoiashunt.node;

/**
 * Names of the HTTP headers that callers and targets meet. Not instantiable; thread-safe.
 */
public final class CallHeaders {

    /** Names the service called; without it the first label of the Host header does. */
    public static final String SERVICE = "Sequoiashunt-Service";

    /** The caller's time limit, and the time that remains when a target gets the request, in milliseconds. */
    public static final String TIMEOUT_MS = "Sequoiashunt-Timeout-Ms";

    /** Outcome of a call that no target answered: not-run or unknown. */
    public static final String OUTCOME = "Sequoiashunt-Outcome";

    /** Name by which a caller repeats a call that must not run twice. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Set to true by a target that refuses a request under load and states that it has not run it. */
    public static final String SHED = "Sequoiashunt-Shed";

    private CallHeaders() {}
}
