package org.sequoiashunt.mesh;

import java.util.Objects;

/**
 * Service that takes a part of a route's requests.
 *
 * <p>Immutable and thread-safe. Invariant: the weight is not negative.
 *
 * @param service the name of the service.
 * @param weight its weight among the services of the route.
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
