package org.sequoiashunt.placement;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoiashunt.fleet.RouteTime;

/**
 * Chooses the target of a call by its expected cost, expressed as the time until the answer, and a policy.
 *
 * <p>The cost includes the calls in progress, the target's mean time for the route, its warm-up, its failures, the
 * distance and the paid traffic. It handles targets of unequal speed, targets that become slow or fail some of their
 * calls, and services whose load is uneven over failure domains: a far target is chosen when the time that it saves
 * outweighs its traffic, or when it is expected to meet the objective and no nearer one is. The
 * {@link PlacementPolicy} tells how many nodes with the same reports spread their calls over targets.
 *
 * <p>Thread-safe if the random generator is. Invariant: an excluded target is never chosen.
 */
public final class Placement {

    private final RandomGenerator random;
    private final Supplier<PlacementPolicy> policy;

    /**
     * Creates a placement with the policy {@link PlacementPolicy#LOWEST_COST}.
     *
     * @param random chooses among targets of equivalent cost, not null.
     */
    public Placement(final RandomGenerator random) {
        this(random, () -> PlacementPolicy.LOWEST_COST);
    }

    /**
     * Creates a placement.
     *
     * @param random the source of the random choices, not null.
     * @param policy returns the policy in force, not null.
     */
    public Placement(final RandomGenerator random, final Supplier<PlacementPolicy> policy) {
        this.random = Objects.requireNonNull(random, "random");
        this.policy = Objects.requireNonNull(policy, "policy");
    }

    /**
     * Chooses a target.
     *
     * @param candidates the targets that run the requested version of the service, not null.
     * @param need what the call needs, not null.
     * @param excludedTargets the identities of the targets that were already tried for this request, not null.
     * @return the chosen target, or empty if every candidate is excluded or there is none. A target that has not
     *     answered calls of the route is returned with the mean duration that was assumed for it, and any target with
     *     the load by which the policy chose it.
     */
    public Optional<PlacementCandidate> choose(
            final List<PlacementCandidate> candidates,
            final PlacementNeed need,
            final Collection<String> excludedTargets) {
        PlacementCosts costs = new PlacementCosts(candidates, need, excludedTargets);
        PlacementPolicy inForce = policy.get();
        int chosen = inForce.choose(costs, random);
        if (chosen < 0) {
            return Optional.empty();
        }
        PlacementCandidate candidate = candidates.get(chosen);
        if (inForce.expectsLoad()) {
            candidate = candidate.withExpectedLoad(costs.expectedLoads()[chosen]);
        }
        if (costs.fastestRouteMs() < 0 || candidate.report().hasRouteTime(need.route())) {
            return Optional.of(candidate);
        }
        return Optional.of(candidate.withRouteTime(new RouteTime(need.route(), costs.fastestRouteMs())));
    }
}
