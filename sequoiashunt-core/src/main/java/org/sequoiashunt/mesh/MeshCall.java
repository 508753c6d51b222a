package org.sequoiashunt.mesh;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.organisation.Organisation;

/**
 * Request that this node received from a caller and has to pass to a target.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestId the identity that the caller gave the request.
 * @param method the HTTP method.
 * @param uri path and query as the caller sent them.
 * @param headers the headers for the target, without hop-by-hop headers.
 * @param body the complete body.
 * @param organisation the organisation whose key the request carries; empty for none.
 * @param organisationRank the rank that takes precedence over the rank of the route; lower ranks are more urgent.
 * @param arrivedMs when the request arrived, in milliseconds of the local clock.
 * @param deadlineMs the time until which the caller waits, in milliseconds of the local clock.
 */
public record MeshCall(
        String requestId,
        String method,
        String uri,
        List<HeaderField> headers,
        Body body,
        Optional<Organisation> organisation,
        int organisationRank,
        long arrivedMs,
        long deadlineMs) {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public MeshCall {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(organisation, "organisation");
    }

    /**
     * Creates a request of no organisation.
     *
     * @param requestId the identity that the caller gave the request.
     * @param method the HTTP method.
     * @param uri path and query as the caller sent them.
     * @param headers the headers for the target, without hop-by-hop headers.
     * @param body the complete body.
     * @param arrivedMs when the request arrived, in milliseconds of the local clock.
     * @param deadlineMs the time until which the caller waits, in milliseconds of the local clock.
     */
    public MeshCall(
            final String requestId,
            final String method,
            final String uri,
            final List<HeaderField> headers,
            final Body body,
            final long arrivedMs,
            final long deadlineMs) {
        this(requestId, method, uri, headers, body, Optional.empty(), 0, arrivedMs, deadlineMs);
    }
}
