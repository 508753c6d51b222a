package org.sequoiashunt.node.mesh;

import java.util.Objects;

/**
 * Names of the headers that callers, nodes and targets exchange. Immutable and thread-safe.
 *
 * @param requestId identity that the caller gives to a request; targets echo it.
 * @param remainingMs how long the caller still waits, in milliseconds.
 * @param signature proof that a target made an answer.
 * @param expectedTarget identity of the only target that may run a request.
 * @param notExecuted states that a target has not run a request.
 * @param callerService service of the VM on which a request began.
 */
public record MeshHeaders(
        String requestId,
        String remainingMs,
        String signature,
        String expectedTarget,
        String notExecuted,
        String callerService) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a name is null.
     */
    public MeshHeaders {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(remainingMs, "remainingMs");
        Objects.requireNonNull(signature, "signature");
        Objects.requireNonNull(expectedTarget, "expectedTarget");
        Objects.requireNonNull(notExecuted, "notExecuted");
        Objects.requireNonNull(callerService, "callerService");
    }
}
