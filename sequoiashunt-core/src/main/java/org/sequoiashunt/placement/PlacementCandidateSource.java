package org.sequoiashunt.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.Predicate;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.time.Clock;

/**
 * Lists the targets of a service from the latest reports of their gates and the calls that this node has sent since.
 *
 * <p>A node to which a call failed for lack of a connection is avoided for a while, unless no other target is left.
 *
 * <p>Thread-safe: counts are guarded by this object's monitor.
 */
public final class PlacementCandidateSource {

    /** How long a node is avoided after the connection of a call to it failed: the time of two reports. */
    private static final long AVOIDANCE_MS = 900;

    /** Bound of the targets whose latest load is kept; more than a service has. */
    private static final int MAXIMUM_OBSERVED_LOADS = 1_024;

    /** Bound of the send times kept for each target: more calls are not sent between two reports. */
    private static final int MAXIMUM_SEND_TIMES = 256;

    private final NodeLocation location;
    private final FleetView fleet;
    private final Function<String, List<TargetReport>> localReports;
    private final Predicate<String> evacuated;
    private final Clock clock;
    private final Map<String, OutstandingCalls> outstandingByTarget = new HashMap<>();
    private final Map<String, ObservedLoad> observedLoads = new HashMap<>();
    private final Map<String, Long> avoidedUntilMsByNode = new HashMap<>();

    /**
     * Creates a source.
     *
     * @param location the location of this node, not null.
     * @param fleet the reports of the other nodes, not null.
     * @param localReports returns the reports of this node's targets for a service, not null.
     * @param clock the clock, not null.
     */
    public PlacementCandidateSource(
            final NodeLocation location,
            final FleetView fleet,
            final Function<String, List<TargetReport>> localReports,
            final Clock clock) {
        this(location, fleet, localReports, domain -> false, clock);
    }

    /**
     * Creates a source that leaves out the targets of evacuated failure domains.
     *
     * @param location the location of this node, not null.
     * @param fleet the reports of the other nodes, not null.
     * @param localReports returns the reports of this node's targets for a service, not null.
     * @param evacuated returns whether a failure domain is evacuated, not null.
     * @param clock the clock, not null.
     */
    public PlacementCandidateSource(
            final NodeLocation location,
            final FleetView fleet,
            final Function<String, List<TargetReport>> localReports,
            final Predicate<String> evacuated,
            final Clock clock) {
        this.evacuated = Objects.requireNonNull(evacuated, "evacuated");
        this.location = Objects.requireNonNull(location, "location");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.localReports = Objects.requireNonNull(localReports, "localReports");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Lists the targets of a service.
     *
     * @param service the service, not null.
     * @return the targets that accept calls, without those of avoided nodes if there are others; never null.
     */
    public List<PlacementCandidate> candidates(final String service) {
        return candidates(service, RegionConstraint.NONE);
    }

    /**
     * Lists the targets of a service in the regions that a request may be served in.
     *
     * @param service the service, not null.
     * @param regions the constraint on the regions, not null.
     * @return the targets that accept calls, without those of evacuated failure domains, and without those of avoided
     *     nodes if there are others; never null.
     */
    public synchronized List<PlacementCandidate> candidates(final String service, final RegionConstraint regions) {
        long nowMs = clock.nowMs();
        List<PlacementCandidate> preferred = new ArrayList<>();
        List<PlacementCandidate> avoided = new ArrayList<>();
        if (mayServe(location.failureDomain(), location.region(), regions)) {
            localReports.apply(service).stream()
                    .filter(report -> acceptsCallsFor(report, service))
                    .forEach(report -> preferred.add(localCandidate(report)));
        }
        for (FleetView.ReceivedReport received : fleet.liveReports(service)) {
            NodeReport node = received.report();
            if (node.leaving()
                    || node.node().equals(location.node())
                    || !mayServe(node.failureDomain(), node.region(), regions)) {
                continue;
            }
            for (TargetReport report : node.targets()) {
                if (acceptsCallsFor(report, service)) {
                    boolean isAvoided = avoidedUntilMsByNode.getOrDefault(node.node(), 0L) > nowMs;
                    (isAvoided ? avoided : preferred).add(candidate(received, report, nowMs));
                }
            }
        }
        return preferred.isEmpty() ? avoided : preferred;
    }

    private boolean mayServe(final String failureDomain, final String region, final RegionConstraint regions) {
        return regions.allows(region) && !evacuated.test(failureDomain);
    }

    private PlacementCandidate localCandidate(final TargetReport report) {
        return new PlacementCandidate(
                location.node(),
                location.address(),
                Distance.NODE,
                report,
                0,
                0,
                location.failureDomain(),
                location.region());
    }

    /**
     * Returns whether another target of the same service in this region had a free slot, as far as this node knows.
     *
     * @param full the target that has none, not null.
     * @return true if the latest known load of another target, with the calls of this node, is below its slots.
     */
    public boolean hasRoomElsewhere(final PlacementCandidate full) {
        for (PlacementCandidate other : candidates(full.report().service())) {
            if (other.distance() != Distance.REMOTE
                    && !other.report().target().equals(full.report().target())
                    && other.load() < other.report().slots()) {
                return true;
            }
        }
        return false;
    }

    private static boolean acceptsCallsFor(final TargetReport report, final String service) {
        return report.accepting() && report.service().equals(service);
    }

    private PlacementCandidate candidate(
            final FleetView.ReceivedReport received, final TargetReport reported, final long nowMs) {
        NodeReport node = received.report();
        ObservedLoad observed = observedLoads.get(reported.target());
        boolean isObservedLater = observed != null && observed.atMs() > received.receivedAtMs();
        TargetReport report = isObservedLater ? reported.withLoad(observed.load()) : reported;
        long loadAtMs = isObservedLater ? observed.atMs() : received.receivedAtMs();
        boolean sameDomain = node.failureDomain().equals(location.failureDomain());
        boolean sameRegion = node.region().equals(location.region());
        OutstandingCalls outstanding = outstandingByTarget.get(report.target());
        int callsSentSinceReport = outstanding == null ? 0 : outstanding.countSentSince(loadAtMs);
        return new PlacementCandidate(
                node.node(),
                node.address(),
                Distance.of(false, sameDomain, sameRegion),
                report,
                Math.max(0, nowMs - loadAtMs), // A report may arrive while the targets are listed.
                callsSentSinceReport,
                node.failureDomain(),
                node.region());
    }

    /**
     * Records that a call was sent.
     *
     * @param candidate the target to which the call was sent, not null.
     */
    public synchronized void recordSent(final PlacementCandidate candidate) {
        if (candidate.distance() != Distance.NODE) {
            outstandingByTarget
                    .computeIfAbsent(candidate.report().target(), unused -> new OutstandingCalls())
                    .recordSent(clock.nowMs());
        }
    }

    /**
     * Records that a call has ended.
     *
     * @param candidate the target to which the call was sent, not null.
     * @param result the result of the call with the load that the gate reported, zero if it reported none; not null.
     */
    public synchronized void recordEnded(final PlacementCandidate candidate, final CallResult result) {
        long nowMs = clock.nowMs();
        String target = candidate.report().target();
        OutstandingCalls outstanding = outstandingByTarget.get(target);
        if (outstanding != null && outstanding.recordEnded()) {
            outstandingByTarget.remove(target);
        }
        boolean connectionFailed = result.reason() == Reason.CONNECTION_FAILED;
        if (connectionFailed) {
            avoidedUntilMsByNode.put(candidate.node(), nowMs + AVOIDANCE_MS);
        } else if (candidate.distance() != Distance.NODE && result.load() > 0) {
            if (observedLoads.size() >= MAXIMUM_OBSERVED_LOADS) {
                observedLoads.clear();
            }
            observedLoads.put(target, new ObservedLoad(result.load(), nowMs));
        }
    }

    /** Load of a target that its gate reported with the result of a call. Immutable and thread-safe. */
    private record ObservedLoad(int load, long atMs) {}

    /** Unfinished calls that this node has sent to one target. Guarded by the source's monitor. */
    private static final class OutstandingCalls {

        private final ArrayDeque<Long> sendTimesMs = new ArrayDeque<>();
        private int total;

        private void recordSent(final long nowMs) {
            total++;
            sendTimesMs.addLast(nowMs);
            if (sendTimesMs.size() > MAXIMUM_SEND_TIMES) {
                sendTimesMs.removeFirst();
            }
        }

        private boolean recordEnded() {
            total--;
            return total <= 0;
        }

        /** Counts the unfinished calls that were sent at or after the time of the target's latest known load. */
        private int countSentSince(final long sinceMs) {
            while (!sendTimesMs.isEmpty() && sendTimesMs.peekFirst() < sinceMs) {
                sendTimesMs.removeFirst();
            }
            return Math.min(sendTimesMs.size(), total);
        }
    }
}
