package org.sequoiashunt.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
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
public final class CandidateSource {

    /** How long a node is passed over after a call to it was lost: two reports. */
    private static final long AVOID_MS = 900;

    private final Place place;
    private final FleetView fleet;
    private final Supplier<List<TargetReport>> own;
    private final Clock clock;
    private final Map<String, Outstanding> outstanding = new HashMap<>();
    private final Map<String, Long> avoidedUntilMs = new HashMap<>();

    /**
     * Creates a source.
     *
     * @param place where this node is, not null.
     * @param fleet the reports of the other nodes, not null.
     * @param own the reports on this node's own targets, not null.
     * @param clock the clock, not null.
     */
    public CandidateSource(
            final Place place, final FleetView fleet, final Supplier<List<TargetReport>> own, final Clock clock) {
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
    public synchronized List<Candidate> candidates(final String service) {
        long nowMs = clock.nowMs();
        List<Candidate> sound = new ArrayList<>();
        List<Candidate> avoided = new ArrayList<>();
        for (TargetReport report : own.get()) {
            if (serves(report, service)) {
                sound.add(new Candidate(place.node(), place.address(), Distance.NODE, report, 0, 0));
            }
        }
        for (FleetView.Sighting sighting : fleet.live()) {
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

    private Candidate candidate(final FleetView.Sighting sighting, final TargetReport report, final long nowMs) {
        NodeReport node = sighting.report();
        boolean sameDomain = node.failureDomain().equals(place.failureDomain());
        boolean sameRegion = node.region().equals(place.region());
        Outstanding sent = outstanding.get(report.target());
        int sentSince = sent == null ? 0 : sent.sinceReport(node.sequence());
        return new Candidate(
                node.node(),
                node.address(),
                Distance.of(false, sameDomain, sameRegion),
                report,
                nowMs - sighting.atMs(),
                sentSince);
    }

    /**
     * Notes that a call is on its way.
     *
     * @param candidate where it goes, not null.
     */
    public synchronized void sent(final Candidate candidate) {
        if (candidate.distance() != Distance.NODE) {
            long sequence = fleet.find(candidate.node())
                    .map(sighting -> sighting.report().sequence())
                    .orElse(0L);
            outstanding
                    .computeIfAbsent(candidate.report().target(), unused -> new Outstanding())
                    .sent(sequence);
        }
    }

    /**
     * Notes that a call has ended.
     *
     * @param candidate where it went, not null.
     * @param lost whether the node could not be reached or went silent.
     */
    public synchronized void ended(final Candidate candidate, final boolean lost) {
        Outstanding sent = outstanding.get(candidate.report().target());
        if (sent != null && sent.ended()) {
            outstanding.remove(candidate.report().target());
        }
        if (lost) {
            avoidedUntilMs.put(candidate.node(), clock.nowMs() + AVOID_MS);
        }
    }

    /** Calls that this node has sent to one target. Guarded by the source. */
    private static final class Outstanding {

        private int total;
        private int sinceReport;
        private long reportSequence = -1;

        private void sent(final long sequence) {
            noteReport(sequence);
            total++;
            sinceReport++;
        }

        private boolean ended() {
            total--;
            sinceReport = Math.max(0, Math.min(sinceReport, total));
            return total <= 0;
        }

        private int sinceReport(final long sequence) {
            noteReport(sequence);
            return sinceReport;
        }

        /** A later report counts the calls sent before it. */
        private void noteReport(final long sequence) {
            if (sequence != reportSequence) {
                reportSequence = sequence;
                sinceReport = 0;
            }
        }
    }
}
