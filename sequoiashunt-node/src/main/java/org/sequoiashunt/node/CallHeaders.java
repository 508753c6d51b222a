package org.sequoiashunt.node;

import java.util.Locale;
import java.util.Set;

/**
 * Names of the HTTP headers that callers and targets use. Not instantiable; thread-safe.
 */
public final class CallHeaders {

    /** Name of the called service; without this header, the first label of the Host header is the name. */
    public static final String SERVICE = "Sequoiashunt-Service";

    /** In milliseconds: from a caller the time limit of the call, to a target the time that remains of it. */
    public static final String TIMEOUT_MS = "Sequoiashunt-Timeout-Ms";

    /** Outcome of a call without a response of a target: not-run or unknown. */
    public static final String OUTCOME = "Sequoiashunt-Outcome";

    /** Key that identifies a call that must not run twice, when a caller repeats it. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Set to true by a target that refuses a request because of its load and has not run it. */
    public static final String SHED = "Sequoiashunt-Shed";

    /** Names in lower case of the headers that may stand only once in a response. */
    public static final Set<String> SINGLE_IN_RESPONSE =
            Set.of(OUTCOME.toLowerCase(Locale.ROOT), SHED.toLowerCase(Locale.ROOT));

    private CallHeaders() {}
}
