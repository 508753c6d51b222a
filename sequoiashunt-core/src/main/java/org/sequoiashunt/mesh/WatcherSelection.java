package org.sequoiashunt.mesh;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.time.Clock;

/**
 * Decides whether this node watches the platform's store.
 *
 * <p>One node in each region watches, the live one with the first name, and passes on what it reads: a change that each
 * node reads for itself would fill the paid link between regions. Each report tells how long ago the store confirmed a
 * node's version. A node that knows of no recent confirmation of its own version watches too, whatever the reason: the
 * watching node was killed, its watch hangs, or the store turns it away. The delay grows with the node's rank, so that
 * the nodes of a region do not all start at once.
 *
 * <p>Thread-safe. Invariant: a node whose version has not been confirmed for {@link #STALE_MS} plus the greatest delay
 * watches.
 */
public final class WatcherSelection {

    /** Age of a confirmation above which another node watches: a watch, its way back and a report take less. */
    static final long STALE_MS = 1_250;

    private static final long STAGGER_MS = 60;
    private static final int MAXIMUM_DELAYS = 5;

    private final NodeLocation place;
    private final FleetView fleet;
    private final LongSupplier ownVersion;
    private final Clock clock;
    private volatile long confirmedMs = Long.MIN_VALUE;

    /**
     * Creates a duty.
     *
     * @param place where this node is, not null.
     * @param fleet the reports of the other nodes, not null.
     * @param ownVersion the version in force, zero for none, not null.
     * @param clock the clock, not null.
     */
    public WatcherSelection(
            final NodeLocation place, final FleetView fleet, final LongSupplier ownVersion, final Clock clock) {
        this.place = Objects.requireNonNull(place, "place");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.ownVersion = Objects.requireNonNull(ownVersion, "ownVersion");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Notes that the store has just confirmed what this node knows. */
    public void confirmed() {
        confirmedMs = clock.nowMs();
    }

    /**
     * Returns how long ago the store confirmed what this node knows.
     *
     * @return the age in milliseconds, or empty if it never did.
     */
    public OptionalLong confirmedAgeMs() {
        long atMs = confirmedMs;
        return atMs == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(clock.nowMs() - atMs);
    }

    /**
     * Tells whether this node is to watch now.
     *
     * @return true if it is the first of its region, or knows of no recent confirmation.
     */
    public boolean isDue() {
        int rank = rank();
        if (rank == 0 || ownVersion.getAsLong() == 0) {
            return true;
        }
        long limitMs = STALE_MS + STAGGER_MS * Math.min(rank, MAXIMUM_DELAYS);
        return youngestConfirmationMs() > limitMs;
    }

    private int rank() {
        int rank = 0;
        for (FleetView.ReceivedReport sighting : fleet.liveReports()) {
            NodeReport report = sighting.report();
            boolean watches = !report.leaving()
                    && report.configurationVersion() > 0
                    && report.region().equals(place.region());
            if (watches && report.node().compareTo(place.node()) < 0) {
                rank++;
            }
        }
        return rank;
    }

    private long youngestConfirmationMs() {
        long nowMs = clock.nowMs();
        long youngest = confirmedAgeMs().orElse(Long.MAX_VALUE);
        long version = ownVersion.getAsLong();
        for (FleetView.ReceivedReport sighting : fleet.liveReports()) {
            NodeReport report = sighting.report();
            if (report.configurationVersion() <= version
                    && report.confirmedAgeMs().isPresent()) {
                long age = nowMs
                        - sighting.receivedAtMs()
                        + report.confirmedAgeMs().getAsLong();
                youngest = Math.min(youngest, age);
            }
        }
        return youngest;
    }
}
