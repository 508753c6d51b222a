package org.sequoiashunt.rollout;

import java.util.Optional;
import org.sequoiashunt.store.StoreException;

/**
 * Progress and outcome of moves as the platform's store holds them. Calls block. Implementations are thread-safe.
 *
 * <p>Invariant: the version of a move's progress never decreases, and a sealed stage never changes.
 */
public interface MoveRegistry {

    /**
     * Reads the progress of a move.
     *
     * @param move the identity of the move, not null.
     * @return the progress, or empty if none was written.
     * @throws StoreException if the store did not answer.
     */
    Optional<RolloutProgress> read(String move) throws StoreException;

    /**
     * Writes the progress of a move by compare-and-swap, unless the store holds a sealed or a newer one.
     *
     * @param progress the progress, not null.
     * @return what the store holds afterwards: the progress given, or the one that prevailed.
     * @throws StoreException if the store did not answer; the progress may have been written.
     */
    RolloutProgress write(RolloutProgress progress) throws StoreException;
}
