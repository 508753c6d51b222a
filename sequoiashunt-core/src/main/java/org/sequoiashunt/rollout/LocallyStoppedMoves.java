package org.sequoiashunt.rollout;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Moves whose new version this node no longer sends to, because it saw a clear fault itself.
 *
 * <p>Thread-safe. Invariant: a move that was stopped stays stopped until it is forgotten.
 */
public final class LocallyStoppedMoves {

    private final Set<String> stopped = ConcurrentHashMap.newKeySet();

    /**
     * Stops a move on this node.
     *
     * @param move the identity of the move, not null.
     */
    public void stop(final String move) {
        stopped.add(move);
    }

    /**
     * Forgets all moves but those given.
     *
     * @param moves the identities of the moves that are still under way, not null.
     */
    public void retain(final Set<String> moves) {
        stopped.retainAll(moves);
    }

    /**
     * Tells whether a move is stopped on this node.
     *
     * @param move the identity of the move, not null.
     * @return true if this node sends nothing to the new version.
     */
    public boolean isStopped(final String move) {
        return stopped.contains(move);
    }
}
