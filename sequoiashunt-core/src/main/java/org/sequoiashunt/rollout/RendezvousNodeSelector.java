package org.sequoiashunt.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.sequoiashunt.membership.StableHash;

/**
 * Chooses one node out of several by rendezvous hash: all who know the same nodes choose the same one, and a node that
 * comes or goes changes the choice only if it is the chosen one. Stateless and thread-safe.
 */
final class RendezvousNodeSelector {

    private static final char SEPARATOR = '\n';

    private RendezvousNodeSelector() {}

    /**
     * Chooses the node with the highest hash.
     *
     * @param subject what the node is chosen for, not null.
     * @param nodes the names to choose from, not null.
     * @return the node, or empty if there is none.
     */
    static Optional<String> first(final String subject, final Collection<String> nodes) {
        Comparator<String> byHash = Comparator.comparingLong(node -> StableHash.of(subject + SEPARATOR + node));
        return nodes.stream().max(byHash.thenComparing(Comparator.naturalOrder()));
    }
}
