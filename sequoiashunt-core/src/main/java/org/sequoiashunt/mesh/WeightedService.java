package org.sequoiashunt.mesh;

import java.util.Objects;

/**
 * Service that receives a weighted share of a route's requests.
 *
 * <p>Immutable and thread-safe. Invariant: the weight is not negative.
 *
 * @param service the name of the service, not null.
 * @param weight the weight relative to the route's other services, zero for no requests.
 */
public record WeightedService(String service, int weight) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the name is null.
     * @throws IllegalArgumentException if the weight is negative.
     */
    public WeightedService {
        Objects.requireNonNull(service, "service");
        if (weight < 0) {
            throw new IllegalArgumentException("weight must not be negative: " + weight);
        }
    }
}
