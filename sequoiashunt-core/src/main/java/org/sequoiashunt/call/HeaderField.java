package org.sequoiashunt.call;

import java.util.Objects;

/**
 * One HTTP header line. Immutable and thread-safe.
 *
 * @param name the name as sent.
 * @param value the value as sent.
 */
public record HeaderField(String name, String value) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public HeaderField {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }
}
