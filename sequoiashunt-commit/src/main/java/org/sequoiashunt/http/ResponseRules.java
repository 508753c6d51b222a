package org.sequoiashunt.http;

import java.util.Objects;
import java.util.Set;

/**
 * What a response must comply with. Immutable and thread-safe.
 *
 * @param maximumBodyBytes the largest accepted body, in bytes, zero or more.
 * @param singleFields the names, in lower case, of the fields that may stand only once in a head beside those that
 *     state the end of the body.
 * @param bodyMayEndWithConnection whether a body without a stated length ends when the server closes the connection;
 *     allow it only if the body itself tells whether it is complete.
 * @param memory the memory that the response shares with others.
 */
public record ResponseRules(
        int maximumBodyBytes, Set<String> singleFields, boolean bodyMayEndWithConnection, ResponseMemory memory) {

    /**
     * Checks the components and copies the set.
     *
     * @throws IllegalArgumentException if the maximum is negative.
     */
    public ResponseRules {
        if (maximumBodyBytes < 0) {
            throw new IllegalArgumentException("maximumBodyBytes must not be negative: " + maximumBodyBytes);
        }
        singleFields = Set.copyOf(singleFields);
        Objects.requireNonNull(memory, "memory");
    }
}
