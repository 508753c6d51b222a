package org.sequoiashunt.commit;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.execution.Roster;
import org.sequoiashunt.execution.RosterRegistry;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreConflictException;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoreKeys;

/**
 * Rosters of home groups in the platform's store, one value per group.
 *
 * <p>A value that cannot be read is reported and never overwritten. Stateless; as thread-safe as the store.
 */
public final class StoredRosterRegistry implements RosterRegistry {

    private final Store store;

    private StoredRosterRegistry(final Store store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Creates a registry that reads and writes the given store.
     *
     * @param store the store, not null.
     * @return a new registry, never null.
     */
    public static StoredRosterRegistry of(final Store store) {
        return new StoredRosterRegistry(store);
    }

    @Override
    public Optional<Roster> read(final String group) throws StoreException {
        return readRevised(group).map(present -> present.document().toRoster());
    }

    @Override
    public boolean replace(final Roster roster) throws StoreException {
        Objects.requireNonNull(roster, "roster");
        Optional<RevisedDocument<RosterDocument>> stored = readRevised(roster.group());
        long storedEpoch = stored.map(value -> value.document().epoch()).orElse(0L);
        if (roster.epoch() != storedEpoch + 1) {
            return false;
        }
        long revision = stored.map(RevisedDocument::revision).orElse(Store.ABSENT_REVISION);
        try {
            store.compareAndSwap(key(roster.group()), revision, JsonCodec.write(RosterDocument.of(roster)));
            return true;
        } catch (StoreConflictException conflict) {
            return false;
        }
    }

    private Optional<RevisedDocument<RosterDocument>> readRevised(final String group) throws StoreException {
        return RevisedDocument.read(store, key(group), RosterDocument.class);
    }

    private static String key(final String group) {
        return StoreKeys.ROSTERS_PREFIX + Objects.requireNonNull(group, "group");
    }

    /**
     * Roster as it is stored. Immutable and thread-safe.
     *
     * @param group the name of the home group.
     * @param epoch the epoch of the roster, counted from 1.
     * @param guards the names of the nodes that are guards of the group.
     */
    private record RosterDocument(String group, long epoch, List<String> guards) {

        private RosterDocument {
            Objects.requireNonNull(group, "group");
            guards = List.copyOf(guards);
        }

        private static RosterDocument of(final Roster roster) {
            return new RosterDocument(roster.group(), roster.epoch(), roster.guards());
        }

        private Roster toRoster() {
            return new Roster(group, epoch, guards);
        }
    }
}
