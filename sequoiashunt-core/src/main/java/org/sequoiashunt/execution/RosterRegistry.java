package org.sequoiashunt.execution;

import java.util.Optional;
import org.sequoiashunt.store.StoreException;

/**
 * Reads and writes the rosters of home groups in the platform's store. Calls block. Implementations are thread-safe.
 */
public interface RosterRegistry {

    /**
     * Reads the roster of a home group.
     *
     * @param group the name of the group, not null.
     * @return the roster, or empty if the store holds none.
     * @throws StoreException if the store did not answer.
     */
    Optional<Roster> read(String group) throws StoreException;

    /**
     * Writes a roster if the store holds the previous epoch, or no roster in the case of the first epoch.
     *
     * @param roster the roster, not null; its epoch is one more than the epoch in the store, or one for the first
     *     roster.
     * @return true if the roster was written, false if the store holds another epoch.
     * @throws StoreException if the store did not answer; the roster may have been written nevertheless.
     */
    boolean replace(Roster roster) throws StoreException;
}
