package org.sequoiashunt.pipeline;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.call.HeaderField;

/**
 * Complete head of a GET request without a body. Immutable and thread-safe.
 *
 * @param path the path as the caller sent it, without the query.
 * @param query the query as the caller sent it, without the question mark; empty if there is none.
 * @param fields the header fields in the order of the request; each name occurs once in any case.
 * @param lengthBytes the length of the head with its empty line, in bytes.
 */
public record RequestHead(String path, String query, List<HeaderField> fields, int lengthBytes) {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public RequestHead {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(query, "query");
        fields = List.copyOf(fields);
    }

    /**
     * Returns the request target.
     *
     * @return path and query as the caller sent them, never null.
     */
    public String uri() {
        return query.isEmpty() ? path : path + "?" + query;
    }
}
