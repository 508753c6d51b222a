package org.sequoiashunt.node;

import java.util.Objects;
import org.sequoiashunt.commit.StoredConfiguration;
import org.sequoiashunt.commit.StoredDomainRegistry;
import org.sequoiashunt.commit.StoredMoveRegistry;
import org.sequoiashunt.commit.StoredRosterRegistry;
import org.sequoiashunt.configuration.ConfigurationSource;
import org.sequoiashunt.execution.RosterRegistry;
import org.sequoiashunt.membership.DomainRegistry;
import org.sequoiashunt.rollout.MoveRegistry;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.time.Clock;

/**
 * Holds the platform's store and the typed views of it that controllers use. Immutable and thread-safe.
 *
 * @param store the store.
 * @param source the committed configuration.
 * @param domains the summaries of failure domains.
 * @param moves the progress and outcome of moves.
 * @param rosters the rosters of home groups.
 */
record StoreAccess(
        Store store, ConfigurationSource source, DomainRegistry domains, MoveRegistry moves, RosterRegistry rosters) {

    static StoreAccess of(final Store store, final Clock clock) {
        Objects.requireNonNull(store, "store");
        return new StoreAccess(
                store,
                StoredConfiguration.of(store),
                StoredDomainRegistry.of(store),
                StoredMoveRegistry.of(store, clock),
                StoredRosterRegistry.of(store));
    }
}
