package org.sequoiashunt.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.sequoiashunt.membership.StableHash;

/**
 * Selects one of several nodes by rendezvous hashing: callers with the same list of nodes select the same node, and
 * adding or removing a node changes the selection only if the added node is selected or the removed node was.
 * Stateless and thread-safe.
 */
final class RendezvousNodeSelector {

    private static final char SEPARATOR = '\n';

    private RendezvousNodeSelector() {}

    /**
     * Selects the node with the highest hash.
     *
     * @param key the key to select a node for, not null.
     * @param nodes the names to choose from, not null.
     * @return the name of the node, or empty if {@code nodes} is empty.
     */
    static Optional<String> select(final String key, final Collection<String> nodes) {
        Comparator<String> byHash = Comparator.comparingLong(node -> StableHash.of(key + SEPARATOR + node));
        return nodes.stream().max(byHash.thenComparing(Comparator.naturalOrder()));
    }
}
