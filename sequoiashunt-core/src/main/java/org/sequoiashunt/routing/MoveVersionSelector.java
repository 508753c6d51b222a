package org.sequoiashunt.routing;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.rollout.VersionShares;

/**
 * Selects versions at random by the traffic share of a service's move. A request for the new version may fall back to
 * the old version. A request for the old version never falls back to the new version, so that the new version does not
 * exceed its share.
 *
 * <p>Thread-safe if the random source is thread-safe.
 */
public final class MoveVersionSelector implements VersionSelector {

    private final VersionShares shares;
    private final RandomGenerator random;

    /**
     * Creates a selector.
     *
     * @param shares the shares of the moves, not null.
     * @param random a thread-safe random source, not null.
     */
    public MoveVersionSelector(final VersionShares shares, final RandomGenerator random) {
        this.shares = Objects.requireNonNull(shares, "shares");
        this.random = Objects.requireNonNull(random, "random");
    }

    @Override
    public List<String> selectVersions(final ServiceConfiguration service) {
        String selected = shares.chooseVersion(service, random);
        boolean newVersionSelected =
                service.move().map(Move::to).filter(selected::equals).isPresent();
        return newVersionSelected ? List.of(selected, service.version()) : List.of(selected);
    }
}
