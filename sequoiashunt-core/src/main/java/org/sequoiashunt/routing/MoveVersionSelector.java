package org.sequoiashunt.routing;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.rollout.VersionShares;

/**
 * Chooses versions by the share of a service's move. A request for the new version may fall back on the old one; a
 * request for the old version never goes to the new one, so that the new one gets no more than its share.
 *
 * <p>Thread-safe if the random source is.
 */
public final class MoveVersionSelector implements VersionSelector {

    private final VersionShares shares;
    private final RandomGenerator random;

    /**
     * Creates a chooser.
     *
     * @param shares the shares of the moves, not null.
     * @param random a thread-safe random source, not null.
     */
    public MoveVersionSelector(final VersionShares shares, final RandomGenerator random) {
        this.shares = Objects.requireNonNull(shares, "shares");
        this.random = Objects.requireNonNull(random, "random");
    }

    @Override
    public List<String> choose(final ServiceConfiguration service) {
        String chosen = shares.chooseVersion(service, random);
        boolean mayFallBack =
                service.move().map(Move::to).filter(chosen::equals).isPresent();
        return mayFallBack ? List.of(chosen, service.version()) : List.of(chosen);
    }
}
