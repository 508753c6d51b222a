package org.sequoiashunt.node.mesh;

import java.util.Objects;

/**
 * Names of the headers that callers, nodes and targets exchange. Immutable and thread-safe.
 *
 * @param requestId identity that the caller assigns to a request; targets echo it in their answers.
 * @param remainingMs time for which the caller still waits, in milliseconds.
 * @param signature present in an answer only if a target created it.
 * @param expectedTarget identity of the only target that may run a request.
 * @param notExecuted present in an answer if the target has not run the request.
 * @param callerService service of the VM from which the request was sent.
 * @param organisation name of the organisation for which a request is made; set by the entry.
 * @param load load of a target and of its VM, in its answers.
 * @param warmupLeftMs how long a target stays cold, in answers of its health check, in milliseconds.
 */
public record MeshHeaders(
        String requestId,
        String remainingMs,
        String signature,
        String expectedTarget,
        String notExecuted,
        String callerService,
        String organisation,
        String load,
        String warmupLeftMs) {

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
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(load, "load");
        Objects.requireNonNull(warmupLeftMs, "warmupLeftMs");
    }
}
