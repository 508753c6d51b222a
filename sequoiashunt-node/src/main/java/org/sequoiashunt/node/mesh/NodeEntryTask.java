package org.sequoiashunt.node.mesh;

import java.util.Objects;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.mesh.MeshPlatform;
import org.sequoiashunt.mesh.ReadFreshness;
import org.sequoiashunt.store.StoreException;

/**
 * Keeps this node registered in the platform's store, where starting nodes find it, and reads the entries of other
 * nodes.
 *
 * <p>Confined to the thread of its loop.
 */
final class NodeEntryTask implements BlockingTask {

    /** Longest time for which an entry remains after its node has stopped. */
    private static final long LEASE_DURATION_MS = 12_000;

    /** Longest time between renewals: two may fail before the entry expires. */
    private static final long RENEWAL_PERIOD_MS = 3_600;

    private static final long RETRY_MS = 900;

    /** Renewals per reading of the entries; the reading lets nodes find each other again after a network partition. */
    private static final int RENEWALS_PER_READING = 6;

    private final MeshPlatform platform;
    private final KnownNode self;
    private final FleetView fleet;
    private final RandomGenerator random;
    private final StoreHealth health;
    private long lease;
    private boolean registered;
    private int renewals;

    NodeEntryTask(
            final MeshPlatform platform,
            final KnownNode self,
            final FleetView fleet,
            final RandomGenerator random,
            final StoreHealth health) {
        this.platform = Objects.requireNonNull(platform, "platform");
        this.self = Objects.requireNonNull(self, "self");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.random = Objects.requireNonNull(random, "random");
        this.health = Objects.requireNonNull(health, "health");
    }

    @Override
    public long step() {
        try {
            if (registered && platform.renewLease(lease)) {
                renewals++;
            } else {
                registered = false;
                lease = platform.registerNode(self, LEASE_DURATION_MS);
                registered = true;
                renewals = 0;
            }
            if (renewals % RENEWALS_PER_READING == 0) {
                // Nodes that start at the same time find each other only in a list with the latest entries.
                ReadFreshness freshness = renewals == 0 ? ReadFreshness.LATEST : ReadFreshness.SECONDS_OLD;
                platform.listNodes(freshness).forEach(fleet::addKnownNode);
            }
            health.recordSuccess();
            return RENEWAL_PERIOD_MS - random.nextLong(RENEWAL_PERIOD_MS / 4);
        } catch (StoreException exception) {
            health.recordFailure("entry", exception.getMessage());
            return RETRY_MS / 2 + random.nextLong(RETRY_MS);
        }
    }
}
