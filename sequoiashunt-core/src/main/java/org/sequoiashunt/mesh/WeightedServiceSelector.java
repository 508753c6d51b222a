package org.sequoiashunt.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Deals the requests of a route to its services by their weights, evenly over short spans too.
 *
 * <p>Smooth weighted round robin: each service gains its weight on each request, and the one with the most credit takes
 * the request and pays the total. The credits start at random, so that nodes do not choose in step.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: the credits of a route sum to zero.
 */
public final class WeightedServiceSelector {

    private static final int MAXIMUM_ROUTES = 1_024;

    private final RandomGenerator random;
    private final Map<String, Credits> creditsByRoute = new HashMap<>();

    /**
     * Creates a chooser.
     *
     * @param random source of chance, guarded by this object, not null.
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
                dropAllIfMany();
                credits = new Credits(services, random);
                creditsByRoute.put(route.name(), credits);
            }
            return credits.next();
        }
    }

    /** Routes come and go with configurations; starting anew costs one random offset. */
    private void dropAllIfMany() {
        if (creditsByRoute.size() >= MAXIMUM_ROUTES) {
            creditsByRoute.clear();
        }
    }

    /** Credits of the services of one route. Guarded by the chooser. */
    private static final class Credits {

        private final List<WeightedService> services;
        private final long[] credits;
        private final long total;

        private Credits(final List<WeightedService> services, final RandomGenerator random) {
            this.services = services;
            this.credits = new long[services.size()];
            this.total = services.stream().mapToLong(WeightedService::weight).sum();
            int skipped = random.nextInt((int) Math.min(total, MAXIMUM_ROUTES));
            for (int step = 0; step < skipped; step++) {
                next();
            }
        }

        private String next() {
            int best = -1;
            for (int index = 0; index < credits.length; index++) {
                int weight = services.get(index).weight();
                credits[index] += weight;
                if (weight > 0 && (best < 0 || credits[index] > credits[best])) {
                    best = index;
                }
            }
            credits[best] -= total;
            return services.get(best).service();
        }
    }
}
