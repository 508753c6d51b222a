package org.sequoiashunt.node;

import java.util.Objects;
import org.sequoiashunt.commit.StoredConfiguration;
import org.sequoiashunt.commit.StoredDomainRegister;
import org.sequoiashunt.commit.StoredMoveRegister;
import org.sequoiashunt.commit.StoredRosterRegister;
import org.sequoiashunt.configuration.ConfigurationSource;
import org.sequoiashunt.execution.RosterRegister;
import org.sequoiashunt.membership.DomainRegister;
import org.sequoiashunt.rollout.MoveRegister;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.time.Clock;

/**
 * The platform's store in the forms in which controllers use it. Immutable and thread-safe.
 *
 * @param store the store.
 * @param source the committed configuration.
 * @param domains the summaries of failure domains.
 * @param moves the progress and outcome of moves.
 * @param rosters the rosters of home groups.
 */
record StoreAccess(
        Store store, ConfigurationSource source, DomainRegister domains, MoveRegister moves, RosterRegister rosters) {

    static StoreAccess of(final Store store, final Clock clock) {
        Objects.requireNonNull(store, "store");
        return new StoreAccess(
                store,
                StoredConfiguration.of(store),
                StoredDomainRegister.of(store),
                StoredMoveRegister.of(store, clock),
                StoredRosterRegister.of(store));
    }
}
