package org.sequoiashunt.call;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One attempt to run a caller's request on a target.
 *
 * <p>Immutable and thread-safe. The deadline is in the time of the local clock; the wire carries the time that remains.
 *
 * @param callId identity of this attempt, unique over all nodes and attempts.
 * @param service the service called.
 * @param route the name of the route matched.
 * @param targetVersion the target version chosen.
 * @param target the name of the target chosen on the gate's node.
 * @param method the HTTP method.
 * @param uri path and query as the caller sent them.
 * @param headers the headers for the target, without hop-by-hop ones.
 * @param body the whole body.
 * @param idempotent whether running the request twice does no harm.
 * @param key the caller's idempotency key, if any.
 * @param deadlineMs when the call must have ended, in milliseconds of the local clock.
 * @param urgency how the call ranks among others that wait for the same target.
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
        Optional<String> key,
        long deadlineMs,
        CallUrgency urgency) {

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
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(urgency, "urgency");
    }

    /**
     * Creates a call of ordinary urgency, whose answer is worth the same until its deadline.
     *
     * @param callId identity of this attempt.
     * @param service the service called.
     * @param route the name of the route matched.
     * @param targetVersion the target version chosen.
     * @param target the name of the target chosen.
     * @param method the HTTP method.
     * @param uri path and query.
     * @param headers the headers for the target.
     * @param body the whole body.
     * @param idempotent whether running the request twice does no harm.
     * @param key the caller's idempotency key, if any.
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
            final Optional<String> key,
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
                key,
                deadlineMs,
                CallUrgency.ordinary(deadlineMs));
    }
}
