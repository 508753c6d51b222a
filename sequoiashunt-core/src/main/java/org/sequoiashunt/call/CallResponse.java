package org.sequoiashunt.call;

import java.util.List;
import java.util.Objects;

/**
 * Complete HTTP response of a target. Immutable and thread-safe. Invariant: the status is one that ends a request; a
 * number such as 0 or 600 is no status, and its sender has not answered.
 *
 * @param status the HTTP status, from 200 to 599.
 * @param headers the headers, without hop-by-hop headers.
 * @param body the whole body.
 */
public record CallResponse(int status, List<HeaderField> headers, Body body) {

    private static final int LOWEST_STATUS = 200;
    private static final int HIGHEST_STATUS = 599;

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the status is out of range.
     */
    public CallResponse {
        if (status < LOWEST_STATUS || status > HIGHEST_STATUS) {
            throw new IllegalArgumentException("not the status of a complete response: " + status);
        }
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }
}
