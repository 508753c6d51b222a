package org.sequoiashunt.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses one node out of several by rendezvous hash: all who know the same nodes choose the same one, and a node that
 * comes or goes changes the choice only if it is the chosen one. Stateless and thread-safe.
 */
final class Rendezvous {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FACTOR = 0xff51afd7ed558ccdL;

    private Rendezvous() {}

    /**
     * Chooses the node with the highest hash.
     *
     * @param subject what the node is chosen for, not null.
     * @param nodes the names to choose from, not null.
     * @return the node, or empty if there is none.
     */
    static Optional<String> first(final String subject, final Collection<String> nodes) {
        Comparator<String> byHash = Comparator.comparingLong(node -> hash(subject, node));
        return nodes.stream().max(byHash.thenComparing(Comparator.naturalOrder()));
    }

    private static long hash(final String subject, final String node) {
        long hash = FNV_OFFSET;
        String text = subject + '\n' + node;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> 33) * MIX_FACTOR;
        return hash ^ hash >>> 33;
    }
}
