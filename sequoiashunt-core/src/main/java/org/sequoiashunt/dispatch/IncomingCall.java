package org.sequoiashunt.dispatch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.HeaderField;

/**
 * Holds a complete request as received from a caller.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service called.
 * @param method the HTTP method.
 * @param path the path without query.
 * @param uri path and query as sent.
 * @param headers the headers to pass on.
 * @param body the whole body.
 * @param key the idempotency key, if the caller sent one.
 * @param timeoutMs the caller's timeout in milliseconds, if the caller sent one.
 */
public record IncomingCall(
        String service,
        String method,
        String path,
        String uri,
        List<HeaderField> headers,
        Body body,
        Optional<String> key,
        OptionalLong timeoutMs) {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public IncomingCall {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(uri, "uri");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(timeoutMs, "timeoutMs");
    }
}
