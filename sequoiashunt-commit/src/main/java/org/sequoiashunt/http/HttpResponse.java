package org.sequoiashunt.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Optional;

/**
 * Complete response of the store's HTTP server. Immutable and thread-safe, provided that the body is not changed.
 *
 * @param status the HTTP status code.
 * @param headers the headers of the response.
 * @param body the bytes of the body, empty if there is none.
 */
public record HttpResponse(int status, HeaderMap headers, byte[] body) {

    static HttpResponse of(final ResponseParser response) {
        HeaderMap headers = new HeaderMap();
        response.fields().forEach(field -> headers.add(new HttpString(field.name()), field.value()));
        return new HttpResponse(response.status(), headers, response.takeBody());
    }

    /**
     * Returns the first value of a header.
     *
     * @param name the name, not null.
     * @return the first value, or empty if the response lacks the header.
     */
    public Optional<String> header(final HttpString name) {
        return Optional.ofNullable(headers.getFirst(name));
    }
}
