package org.sequoiashunt.call;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One attempt to run a caller's request on a target.
 *
 * <p>Immutable and thread-safe. The deadline is a time of the local clock; the wire carries the remaining time.
 *
 * @param callId identity of this attempt, unique over all nodes and attempts.
 * @param service the name of the called service.
 * @param route the name of the matched route.
 * @param targetVersion the selected target version.
 * @param target the name of the selected target on the gate's node.
 * @param method the HTTP method.
 * @param uri path and query as the caller sent them.
 * @param headers the headers for the target, without hop-by-hop headers.
 * @param body the whole body.
 * @param idempotent whether running the request twice does no harm.
 * @param idempotencyKey the caller's idempotency key, if any.
 * @param deadlineMs when the call must have ended, in milliseconds of the local clock.
 * @param urgency the priority of the call among the calls that wait for the same target.
 * @param repeated whether an earlier attempt of the same request has reached a target; the calls that this run makes in
 *     turn then count as repeated too.
 * @param organisation the name of the organisation for which the request is made; empty for none.
 */
public record CallRequest(
        String callId,
        String service,
        String route,
        String targetVersion,
        String target,
        String method,
        String uri,
        List<HeaderField> headers,
        Body body,
        boolean idempotent,
        Optional<String> idempotencyKey,
        long deadlineMs,
        CallUrgency urgency,
        boolean repeated,
        String organisation) {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public CallRequest {
        Objects.requireNonNull(callId, "callId");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(targetVersion, "targetVersion");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
        Objects.requireNonNull(urgency, "urgency");
        Objects.requireNonNull(organisation, "organisation");
    }

    /**
     * Creates a first attempt with the default rank, whose response keeps its full value until the deadline.
     *
     * @param callId identity of this attempt.
     * @param service the name of the called service.
     * @param route the name of the matched route.
     * @param targetVersion the selected target version.
     * @param target the name of the selected target.
     * @param method the HTTP method.
     * @param uri path and query.
     * @param headers the headers for the target.
     * @param body the whole body.
     * @param idempotent whether running the request twice does no harm.
     * @param idempotencyKey the caller's idempotency key, if any.
     * @param deadlineMs when the call must have ended, in milliseconds of the local clock.
     */
    public CallRequest(
            final String callId,
            final String service,
            final String route,
            final String targetVersion,
            final String target,
            final String method,
            final String uri,
            final List<HeaderField> headers,
            final Body body,
            final boolean idempotent,
            final Optional<String> idempotencyKey,
            final long deadlineMs) {
        this(
                callId,
                service,
                route,
                targetVersion,
                target,
                method,
                uri,
                headers,
                body,
                idempotent,
                idempotencyKey,
                deadlineMs,
                CallUrgency.withDefaultRank(deadlineMs),
                false,
                "");
    }
}
