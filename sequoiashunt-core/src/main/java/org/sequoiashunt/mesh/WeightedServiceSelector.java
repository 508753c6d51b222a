package org.sequoiashunt.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Distributes the requests of a route over its services by weight, evenly over short periods too.
 *
 * <p>Uses smooth weighted round robin: with each request, the weight of each service is added to its credit; the
 * service with the highest credit gets the request, and the total weight is subtracted from its credit. The initial
 * credits are random, so that nodes do not all choose the same sequence.
 *
 * <p>Thread-safe: guarded by this object's monitor. Invariant: the credits of a route sum to zero.
 */
public final class WeightedServiceSelector {

    private static final int MAXIMUM_ROUTES = 1_024;

    private final RandomGenerator random;
    private final Map<String, Credits> creditsByRoute = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param random generates the initial credits, guarded by this object's monitor, not null.
     */
    public WeightedServiceSelector(final RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses the service for one request.
     *
     * @param route the route, not null.
     * @return the name of the service, never null.
     */
    public String choose(final MeshRoute route) {
        List<WeightedService> services = route.services();
        if (services.size() == 1) {
            return services.get(0).service();
        }
        synchronized (this) {
            Credits credits = creditsByRoute.get(route.name());
            if (credits == null || !credits.services.equals(services)) {
                clearIfFull();
                credits = new Credits(services, random);
                creditsByRoute.put(route.name(), credits);
            }
            return credits.chooseNext();
        }
    }

    /** Bounds memory, as configurations add and remove routes. A cleared route only starts at a new random offset. */
    private void clearIfFull() {
        if (creditsByRoute.size() >= MAXIMUM_ROUTES) {
            creditsByRoute.clear();
        }
    }

    /** Credits of the services of one route. Guarded by the selector's monitor. */
    private static final class Credits {

        private final List<WeightedService> services;
        private final long[] credits;
        private final long totalWeight;

        private Credits(final List<WeightedService> services, final RandomGenerator random) {
            this.services = services;
            this.credits = new long[services.size()];
            this.totalWeight =
                    services.stream().mapToLong(WeightedService::weight).sum();
            int skipped = random.nextInt((int) Math.min(totalWeight, MAXIMUM_ROUTES));
            for (int step = 0; step < skipped; step++) {
                chooseNext();
            }
        }

        private String chooseNext() {
            int chosen = -1;
            for (int index = 0; index < credits.length; index++) {
                int weight = services.get(index).weight();
                credits[index] += weight;
                if (weight > 0 && (chosen < 0 || credits[index] > credits[chosen])) {
                    chosen = index;
                }
            }
            credits[chosen] -= totalWeight;
            return services.get(chosen).service();
        }
    }
}
