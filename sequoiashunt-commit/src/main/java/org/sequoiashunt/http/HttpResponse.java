package org.sequoiashunt.http;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Optional;

/**
 * Whole answer of the store's HTTP server. Immutable and thread-safe, on the condition that the body is not changed.
 *
 * @param status the HTTP status.
 * @param headers the headers.
 * @param body the body.
 */
public record HttpResponse(int status, HeaderMap headers, byte[] body) {

    static HttpResponse of(final ClientResponse response, final byte[] body) {
        return new HttpResponse(response.getResponseCode(), response.getResponseHeaders(), body);
    }

    /**
     * Reads a header.
     *
     * @param name the name, not null.
     * @return its first value, or empty.
     */
    public Optional<String> header(final HttpString name) {
        return Optional.ofNullable(headers.getFirst(name));
    }
}
