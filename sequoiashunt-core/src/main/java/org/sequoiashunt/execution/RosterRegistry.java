package org.sequoiashunt.execution;

import java.util.Optional;
import org.sequoiashunt.store.StoreException;

/**
 * Rosters of guards as the platform's store holds them. Calls block. Implementations are thread-safe.
 */
public interface RosterRegistry {

    /**
     * Reads the roster of a home group.
     *
     * @param group the name of the group, not null.
     * @return the roster, or empty if none was written.
     * @throws StoreException if the store did not answer.
     */
    Optional<Roster> read(String group) throws StoreException;

    /**
     * Writes a roster if the store holds the epoch before it.
     *
     * @param roster the roster, not null; its epoch is one more than the one in the store, or one for the first.
     * @return true if the roster was written, false if the store holds another epoch.
     * @throws StoreException if the store did not answer; the roster may have been written.
     */
    boolean replace(Roster roster) throws StoreException;
}
