package org.sequoiashunt.node.mesh;

import java.util.Objects;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.mesh.MeshPlatform;
import org.sequoiashunt.store.StoreException;

/**
 * Keeps this node's entry in the platform's store, by which nodes that start find it, and reads the entries of others.
 *
 * <p>Confined to the thread of its loop.
 */
final class NodeEntryTask implements BlockingTask {

    /** How long an entry outlives its node. */
    private static final long LEASE_MS = 12_000;

    /** Time between renewals: two may fail before the entry ends. */
    private static final long RENEWAL_MS = 3_600;

    private static final long RETRY_MS = 900;

    /** Renewals between two readings of the entries: nodes that were cut off find each other again. */
    private static final int RENEWALS_PER_READING = 6;

    private final MeshPlatform platform;
    private final KnownNode self;
    private final FleetView fleet;
    private final RandomGenerator random;
    private final StoreHealth health;
    private long lease;
    private boolean entered;
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
            if (entered && platform.renewLease(lease)) {
                renewals++;
            } else {
                entered = false;
                lease = platform.registerNode(self, LEASE_MS);
                entered = true;
                renewals = 0;
            }
            if (renewals % RENEWALS_PER_READING == 0) {
                platform.listNodes().forEach(fleet::meet);
            }
            health.answered();
            return RENEWAL_MS - random.nextLong(RENEWAL_MS / 4);
        } catch (StoreException exception) {
            health.failed("entry", exception.getMessage());
            return RETRY_MS / 2 + random.nextLong(RETRY_MS);
        }
    }
}
