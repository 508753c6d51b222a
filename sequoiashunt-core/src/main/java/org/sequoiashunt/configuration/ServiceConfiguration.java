package org.sequoiashunt.configuration;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.Section;

/**
 * Configuration of one service: a part of the manifest, replicated under its digest.
 *
 * <p>Immutable and thread-safe. Invariant: there is at least one route, and a move starts at the current version.
 *
 * @param service the name of the service.
 * @param version the target version that receives all traffic while no move is in progress.
 * @param move the move in progress, if any.
 * @param routes the routes in the order in which they are matched.
 * @param homeGroups the names of the home groups among which this service's idempotency keys are distributed; may be
 *     empty.
 * @param formerHomeGroups the names of the previous home groups, queried in addition while claims made there are
 *     retained; may be empty.
 */
public record ServiceConfiguration(
        String service,
        String version,
        Optional<Move> move,
        List<Route> routes,
        List<String> homeGroups,
        List<String> formerHomeGroups)
        implements EntryValue {

    /**
     * Checks the components and copies the lists.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if there is no route, or if the move starts at another version.
     */
    public ServiceConfiguration {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(move, "move");
        routes = List.copyOf(routes);
        homeGroups = List.copyOf(homeGroups);
        formerHomeGroups = List.copyOf(formerHomeGroups);
        if (routes.isEmpty()) {
            throw new IllegalArgumentException("service '" + service + "' has no route");
        }
        if (move.isPresent() && !move.get().from().equals(version)) {
            throw new IllegalArgumentException(
                    "move of service '" + service + "' does not start at the service's version");
        }
    }

    /**
     * Creates a configuration without former home groups.
     *
     * @param service the name of the service, not null.
     * @param version the target version that receives all traffic while no move is in progress, not null.
     * @param move the move in progress, or empty, not null.
     * @param routes the routes, not empty.
     * @param homeGroups the names of the home groups, not null.
     * @throws NullPointerException if an argument is null.
     * @throws IllegalArgumentException if there is no route, or if the move starts at another version.
     */
    public ServiceConfiguration(
            final String service,
            final String version,
            final Optional<Move> move,
            final List<Route> routes,
            final List<String> homeGroups) {
        this(service, version, move, routes, homeGroups, List.of());
    }

    /**
     * Returns the identity of the move in progress.
     *
     * @return the identity, or empty if there is no move.
     */
    public Optional<String> moveIdentity() {
        return move.map(currentMove -> currentMove.identity(service));
    }

    @Override
    public Section section() {
        return Section.CONFIGURATION_PART;
    }
}
