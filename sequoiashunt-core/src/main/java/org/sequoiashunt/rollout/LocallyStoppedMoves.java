package org.sequoiashunt.rollout;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Set of the moves that this node has stopped because {@link LocalFaultDetector} found the new version faulty; this
 * node sends no calls to the new version of a stopped move unless the move is sealed as done.
 *
 * <p>Thread-safe. Invariant: a stopped move stays stopped until {@link #retain} removes it.
 */
public final class LocallyStoppedMoves {

    private final Set<String> stoppedMoves = ConcurrentHashMap.newKeySet();

    /**
     * Stops a move on this node.
     *
     * @param move the identity of the move, not null.
     */
    public void stop(final String move) {
        stoppedMoves.add(move);
    }

    /**
     * Removes all moves except the given ones.
     *
     * @param moves the identities of the moves that are still configured, not null.
     */
    public void retain(final Set<String> moves) {
        stoppedMoves.retainAll(moves);
    }

    /**
     * Tells whether a move is stopped on this node.
     *
     * @param move the identity of the move, not null.
     * @return true if the move is stopped on this node.
     */
    public boolean isStopped(final String move) {
        return stoppedMoves.contains(move);
    }
}
