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
 * <p>A value that cannot be read is reported and never overwritten. Thread-safe as far as the store is; holds no state.
 */
public final class StoredRosterRegistry implements RosterRegistry {

    private final Store store;

    private StoredRosterRegistry(final Store store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Creates a register.
     *
     * @param store the store, not null.
     * @return a new register, never null.
     */
    public static StoredRosterRegistry of(final Store store) {
        return new StoredRosterRegistry(store);
    }

    @Override
    public Optional<Roster> read(final String group) throws StoreException {
        return find(group).map(present -> present.document().toRoster());
    }

    @Override
    public boolean replace(final Roster roster) throws StoreException {
        Objects.requireNonNull(roster, "roster");
        Optional<RevisedDocument<RosterDocument>> present = find(roster.group());
        long presentEpoch = present.map(value -> value.document().epoch()).orElse(0L);
        if (roster.epoch() != presentEpoch + 1) {
            return false;
        }
        long revision = present.map(RevisedDocument::revision).orElse(Store.ABSENT_REVISION);
        try {
            store.compareAndSwap(key(roster.group()), revision, JsonCodec.write(RosterDocument.of(roster)));
            return true;
        } catch (StoreConflictException conflict) {
            return false;
        }
    }

    private Optional<RevisedDocument<RosterDocument>> find(final String group) throws StoreException {
        return RevisedDocument.read(store, key(group), RosterDocument.class);
    }

    private static String key(final String group) {
        return StoreKeys.ROSTERS_PREFIX + Objects.requireNonNull(group, "group");
    }

    /**
     * Roster as it is stored. Immutable and thread-safe.
     *
     * @param group the name of the home group.
     * @param epoch the epoch.
     * @param guards the names of the nodes that guard.
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
