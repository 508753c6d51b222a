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
 * <p>In each region, the live node whose name sorts first watches and passes on what it reads: if every node read each
 * change from the store, the paid link between regions would be saturated. The report of a node contains the time since
 * the store last confirmed its configuration version. A node without a recent confirmation of its own version or an
 * earlier one also watches, whatever the cause: the watching node was killed, its watch hangs, or the store refuses it.
 * The delay grows with the node's rank by name, so that the nodes of a region do not all start at once.
 *
 * <p>Thread-safe. Invariant: a node whose version has not been confirmed for {@link #STALE_CONFIRMATION_MS} plus the
 * greatest delay watches.
 */
public final class WatcherSelection {

    /** Age of a confirmation above which another node watches: a watch, its answer and a report take less time. */
    static final long STALE_CONFIRMATION_MS = 1_250;

    private static final long DELAY_PER_RANK_MS = 60;

    /** Rank from which on the delay does not grow further. */
    private static final int MAXIMUM_DELAYED_RANK = 5;

    private final NodeLocation location;
    private final FleetView fleet;
    private final LongSupplier localVersion;
    private final Clock clock;
    private volatile long latestConfirmationMs = Long.MIN_VALUE;

    /**
     * Creates a selection.
     *
     * @param location the location of this node, not null.
     * @param fleet the reports of the other nodes, not null.
     * @param localVersion returns the configuration version in force on this node, zero for none; not null.
     * @param clock the clock, not null.
     */
    public WatcherSelection(
            final NodeLocation location, final FleetView fleet, final LongSupplier localVersion, final Clock clock) {
        this.location = Objects.requireNonNull(location, "location");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.localVersion = Objects.requireNonNull(localVersion, "localVersion");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Records that the store has just confirmed this node's state. */
    public void recordConfirmation() {
        latestConfirmationMs = clock.nowMs();
    }

    /**
     * Returns the time since the store last confirmed this node's state.
     *
     * @return the age in milliseconds, or empty if the store has never confirmed it.
     */
    public OptionalLong confirmationAgeMs() {
        long atMs = latestConfirmationMs;
        return atMs == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(clock.nowMs() - atMs);
    }

    /**
     * Returns whether this node must watch now.
     *
     * @return true if the node is the first of its region, has no configuration, or has no recent confirmation.
     */
    public boolean shouldWatch() {
        int rank = rank();
        if (rank == 0 || localVersion.getAsLong() == 0) {
            return true;
        }
        long limitMs = STALE_CONFIRMATION_MS + DELAY_PER_RANK_MS * Math.min(rank, MAXIMUM_DELAYED_RANK);
        return lowestConfirmationAgeMs() > limitMs;
    }

    private int rank() {
        int rank = 0;
        for (FleetView.ReceivedReport received : fleet.liveReports()) {
            NodeReport report = received.report();
            boolean mayWatch = !report.leaving()
                    && report.configurationVersion() > 0
                    && report.region().equals(location.region());
            if (mayWatch && report.node().compareTo(location.node()) < 0) {
                rank++;
            }
        }
        return rank;
    }

    private long lowestConfirmationAgeMs() {
        long nowMs = clock.nowMs();
        long lowestAgeMs = confirmationAgeMs().orElse(Long.MAX_VALUE);
        long version = localVersion.getAsLong();
        for (FleetView.ReceivedReport received : fleet.liveReports()) {
            NodeReport report = received.report();
            if (report.configurationVersion() <= version
                    && report.confirmedAgeMs().isPresent()) {
                long ageMs = nowMs
                        - received.receivedAtMs()
                        + report.confirmedAgeMs().getAsLong();
                lowestAgeMs = Math.min(lowestAgeMs, ageMs);
            }
        }
        return lowestAgeMs;
    }
}
