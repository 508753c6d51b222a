package org.sequoiashunt.store;

import java.util.Objects;

/**
 * State of a lease at the moment the store answered. Immutable and thread-safe.
 *
 * @param name the name of the lease.
 * @param holder the name of the holder.
 * @param term a number that grows each time the holder changes.
 * @param remainingMs milliseconds until the lease ends, from the moment the store answered.
 */
public record StoredLease(String name, String holder, long term, long remainingMs) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public StoredLease {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(holder, "holder");
    }
}
