package org.sequoiashunt.rollout;

import java.util.Optional;
import org.sequoiashunt.store.StoreException;

/**
 * Reads and writes the progress and outcome of moves in the platform's store. Calls block. Implementations are
 * thread-safe.
 *
 * <p>Invariant: the version of a move's progress never decreases, and a sealed stage never changes.
 */
public interface MoveRegistry {

    /**
     * Reads the progress of a move.
     *
     * @param move the identity of the move, not null.
     * @return the progress, or empty if the store holds none.
     * @throws StoreException if the store did not answer.
     */
    Optional<RolloutProgress> read(String move) throws StoreException;

    /**
     * Writes the progress of a move by compare-and-swap, unless the store holds sealed or newer progress.
     *
     * @param progress the progress, not null.
     * @return the progress that the store holds afterwards: the given progress, or the sealed or newer one that it
     *     did not replace.
     * @throws StoreException if the store did not answer; the progress may have been written.
     */
    RolloutProgress write(RolloutProgress progress) throws StoreException;
}
