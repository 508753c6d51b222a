package org.sequoiashunt.store;

import java.util.Objects;

/**
 * Lease as the store holds it. Immutable and thread-safe.
 *
 * @param name the name of the lease.
 * @param holder who has it.
 * @param term a number that grows each time the lease passes to another holder.
 * @param remainingMs how long it still lasts, in milliseconds, as of the moment the store answered.
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
