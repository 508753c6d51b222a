package org.sequoiashunt.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.time.Clock;

/**
 * Lists the targets of a service from the reports of the nodes beside them, with what this node has sent since.
 *
 * <p>A node that could not be reached or went silent is passed over for a while, unless nothing else is left.
 *
 * <p>Thread-safe: counts are guarded by this object's monitor.
 */
public final class PlacementCandidateSource {

    /** How long a node is passed over after a call to it was lost: two reports. */
    private static final long AVOID_MS = 900;

    /** Targets whose latest load is remembered; more than a service has. */
    private static final int MAXIMUM_OBSERVATIONS = 1_024;

    /** Calls remembered for each target: more are not sent between two reports. */
    private static final int MAXIMUM_REMEMBERED = 256;

    private final NodeLocation place;
    private final FleetView fleet;
    private final Function<String, List<TargetReport>> own;
    private final Clock clock;
    private final Map<String, Outstanding> outstanding = new HashMap<>();
    private final Map<String, Observation> observations = new HashMap<>();
    private final Map<String, Long> avoidedUntilMs = new HashMap<>();

    /**
     * Creates a source.
     *
     * @param place where this node is, not null.
     * @param fleet the reports of the other nodes, not null.
     * @param own the reports on this node's own targets of a service, not null.
     * @param clock the clock, not null.
     */
    public PlacementCandidateSource(
            final NodeLocation place,
            final FleetView fleet,
            final Function<String, List<TargetReport>> own,
            final Clock clock) {
        this.place = Objects.requireNonNull(place, "place");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.own = Objects.requireNonNull(own, "own");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Lists the targets of a service.
     *
     * @param service the service, not null.
     * @return the targets that take work, never null.
     */
    public synchronized List<PlacementCandidate> candidates(final String service) {
        long nowMs = clock.nowMs();
        List<PlacementCandidate> sound = new ArrayList<>();
        List<PlacementCandidate> avoided = new ArrayList<>();
        for (TargetReport report : own.apply(service)) {
            if (serves(report, service)) {
                sound.add(new PlacementCandidate(place.node(), place.address(), Distance.NODE, report, 0, 0));
            }
        }
        for (FleetView.ReceivedReport sighting : fleet.liveReports()) {
            NodeReport node = sighting.report();
            if (node.leaving() || node.node().equals(place.node())) {
                continue;
            }
            for (TargetReport report : node.targets()) {
                if (serves(report, service)) {
                    boolean isAvoided = avoidedUntilMs.getOrDefault(node.node(), 0L) > nowMs;
                    (isAvoided ? avoided : sound).add(candidate(sighting, report, nowMs));
                }
            }
        }
        return sound.isEmpty() ? avoided : sound;
    }

    private static boolean serves(final TargetReport report, final String service) {
        return report.accepting() && report.service().equals(service);
    }

    private PlacementCandidate candidate(
            final FleetView.ReceivedReport sighting, final TargetReport reported, final long nowMs) {
        NodeReport node = sighting.report();
        Observation observation = observations.get(reported.target());
        boolean isFresher = observation != null && observation.atMs() > sighting.receivedAtMs();
        TargetReport report = isFresher ? reported.withLoad(observation.load()) : reported;
        long knownAtMs = isFresher ? observation.atMs() : sighting.receivedAtMs();
        boolean sameDomain = node.failureDomain().equals(place.failureDomain());
        boolean sameRegion = node.region().equals(place.region());
        Outstanding sent = outstanding.get(report.target());
        int sentSince = sent == null ? 0 : sent.sinceMs(knownAtMs);
        return new PlacementCandidate(
                node.node(),
                node.address(),
                Distance.of(false, sameDomain, sameRegion),
                report,
                nowMs - knownAtMs,
                sentSince);
    }

    /**
     * Notes that a call is on its way.
     *
     * @param candidate where it goes, not null.
     */
    public synchronized void sent(final PlacementCandidate candidate) {
        if (candidate.distance() != Distance.NODE) {
            outstanding
                    .computeIfAbsent(candidate.report().target(), unused -> new Outstanding())
                    .sent(clock.nowMs());
        }
    }

    /**
     * Notes that a call has ended.
     *
     * @param candidate where it went, not null.
     * @param result how it ended, with the load that its gate told, not null.
     */
    public synchronized void ended(final PlacementCandidate candidate, final CallResult result) {
        long nowMs = clock.nowMs();
        String target = candidate.report().target();
        Outstanding sent = outstanding.get(target);
        if (sent != null && sent.ended()) {
            outstanding.remove(target);
        }
        boolean lost = result.reason() == Reason.CONNECTION_FAILED;
        if (lost) {
            avoidedUntilMs.put(candidate.node(), nowMs + AVOID_MS);
        } else if (candidate.distance() != Distance.NODE && result.load() > 0) {
            if (observations.size() >= MAXIMUM_OBSERVATIONS) {
                observations.clear();
            }
            observations.put(target, new Observation(result.load(), nowMs));
        }
    }

    /** Load of a target as its gate told it with an answer. Immutable and thread-safe. */
    private record Observation(int load, long atMs) {}

    /** Calls that this node has sent to one target. Guarded by the source. */
    private static final class Outstanding {

        private final ArrayDeque<Long> sentMs = new ArrayDeque<>();
        private int total;

        private void sent(final long nowMs) {
            total++;
            sentMs.addLast(nowMs);
            if (sentMs.size() > MAXIMUM_REMEMBERED) {
                sentMs.removeFirst();
            }
        }

        private boolean ended() {
            total--;
            return total <= 0;
        }

        /** Counts the calls that what is known of the target does not include yet. */
        private int sinceMs(final long knownAtMs) {
            while (!sentMs.isEmpty() && sentMs.peekFirst() < knownAtMs) {
                sentMs.removeFirst();
            }
            return Math.min(sentMs.size(), total);
        }
    }
}
