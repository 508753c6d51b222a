package org.sequoiashunt.mesh;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.RelaySelection;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.time.Clock;

/**
 * Decides whether this node watches the platform's store.
 *
 * <p>In each region, the live node that suits best as a relay watches and passes on what it reads: if every node read
 * each change from the store, the paid link between regions would be saturated. The report of a node contains the time
 * since the store last confirmed its configuration version. If no confirmation of this node's version or an earlier one
 * is recent, the watching node has been killed, its watch hangs, or the store refuses it. The relays of each failure
 * domain then watch for their domain, and the other nodes only if that does not help: while the store is down, few
 * nodes call it.
 *
 * <p>Thread-safe. Invariant: a node whose version has not been confirmed for the sum of
 * {@link #STALE_RELAYED_CONFIRMATION_MS}, {@link #OTHER_NODE_DELAY_MS} and the greatest delay of a rank watches.
 */
public final class WatcherSelection {

    /** Age of a confirmation above which another node watches: a watch, its answer and a report take less time. */
    static final long STALE_CONFIRMATION_MS = 1_250;

    /** The same if the watching node is in another failure domain, so that its report passes two relays. */
    static final long STALE_RELAYED_CONFIRMATION_MS = 2_200;

    /** Further delay of the nodes that are not relays of their failure domain: their relays need that time at most. */
    static final long OTHER_NODE_DELAY_MS = 3_000;

    private static final long DELAY_PER_RANK_MS = 60;

    /** Rank from which on the delay does not grow further. */
    private static final int MAXIMUM_DELAYED_RANK = 5;

    private final NodeLocation location;
    private final int capacity;
    private final FleetView fleet;
    private final LongSupplier localVersion;
    private final Clock clock;
    private volatile long latestConfirmationMs = Long.MIN_VALUE;

    /**
     * Creates a selection.
     *
     * @param location the location of this node, not null.
     * @param capacity the processor capacity of this node's VM, in thousandths of a core.
     * @param fleet the reports of the other nodes, not null.
     * @param localVersion returns the configuration version in force on this node, zero for none; not null.
     * @param clock the clock, not null.
     */
    public WatcherSelection(
            final NodeLocation location,
            final int capacity,
            final FleetView fleet,
            final LongSupplier localVersion,
            final Clock clock) {
        this.location = Objects.requireNonNull(location, "location");
        this.capacity = capacity;
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
     * @return true if the node is the first of its region or has no recent confirmation.
     */
    public boolean shouldWatch() {
        List<NodeReport> preceding = precedingNodes();
        if (preceding.isEmpty()) {
            return true;
        }
        boolean watcherIsNear = preceding.stream()
                .min(RelaySelection.SUITABILITY)
                .filter(this::isInThisDomain)
                .isPresent();
        int rankInDomain = (int) preceding.stream().filter(this::isInThisDomain).count();
        long limitMs = (watcherIsNear ? STALE_CONFIRMATION_MS : STALE_RELAYED_CONFIRMATION_MS)
                + (rankInDomain < RelaySelection.RELAYS_PER_DOMAIN ? 0 : OTHER_NODE_DELAY_MS)
                + DELAY_PER_RANK_MS * Math.min(rankInDomain, MAXIMUM_DELAYED_RANK);
        return lowestConfirmationAgeMs() > limitMs;
    }

    /** Lists the nodes of this region that may watch and suit better than this one. */
    private List<NodeReport> precedingNodes() {
        boolean configured = localVersion.getAsLong() > 0;
        return fleet.liveReports().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> !report.leaving()
                        && (report.configurationVersion() > 0 || !configured)
                        && report.region().equals(location.region())
                        && precedesThisNode(report))
                .toList();
    }

    private boolean isInThisDomain(final NodeReport report) {
        return report.failureDomain().equals(location.failureDomain());
    }

    private boolean precedesThisNode(final NodeReport report) {
        return report.capacity() > capacity
                || report.capacity() == capacity && report.node().compareTo(location.node()) < 0;
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
