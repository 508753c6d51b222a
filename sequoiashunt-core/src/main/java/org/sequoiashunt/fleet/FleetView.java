package org.sequoiashunt.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;

/**
 * What this node believes of the others: their latest reports, and addresses at which a node may be found.
 *
 * <p>Each node reports to every other one, so that a node which is cut off from some of them, or from the platform,
 * still knows those that it can reach. A node that has not reported lately gets no work.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: a report never replaces a newer one of the same node; the
 * number of nodes is bounded.
 */
public final class FleetView {

    /** A node silent for this long gets no work: three reports missed, and the time to replace a link. */
    public static final long LIVENESS_MS = 2_300;

    /** A node that has not reported for this long is no longer told of, nor reported to. */
    static final long MEMORY_MS = 20_000;

    private static final int MAXIMUM_NODES = 8_192;

    /** Replaced incarnations remembered for each node: late reports come from the last few. */
    private static final int MAXIMUM_REPLACED = 8;

    private final Clock clock;
    private final Map<String, ReceivedReport> sightings = new HashMap<>();
    private final Map<String, Contact> contacts = new HashMap<>();
    private final Map<String, Set<Long>> replacedIncarnations = new HashMap<>();

    /**
     * Creates an empty view.
     *
     * @param clock the clock, not null.
     */
    public FleetView(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Takes a report.
     *
     * @param report the report, not null.
     * @return what changed, never null.
     */
    public synchronized Change accept(final NodeReport report) {
        ReceivedReport known = sightings.get(report.node());
        if (known != null && isOutdated(report, known.report())) {
            return Change.OUTDATED;
        }
        if (known == null && sightings.size() >= MAXIMUM_NODES) {
            return Change.OUTDATED;
        }
        long nowMs = clock.nowMs();
        boolean fresh = known == null
                || known.report().incarnation() != report.incarnation()
                || nowMs - known.atMs() > LIVENESS_MS;
        sightings.put(report.node(), new ReceivedReport(report, nowMs));
        report.known().forEach(this::meet);
        return fresh ? Change.REGAINED : Change.REFRESHED;
    }

    /** Incarnations have no order, since the time of day may jump: one that was replaced never comes back. */
    private boolean isOutdated(final NodeReport report, final NodeReport known) {
        if (report.incarnation() == known.incarnation()) {
            return report.sequence() <= known.sequence();
        }
        Set<Long> replaced = replacedIncarnations.computeIfAbsent(report.node(), unused -> new LinkedHashSet<>());
        if (replaced.contains(report.incarnation())) {
            return true;
        }
        if (replaced.size() >= MAXIMUM_REPLACED) {
            replaced.remove(replaced.iterator().next());
        }
        replaced.add(known.incarnation());
        return false;
    }

    /**
     * Notes where a node may be found.
     *
     * @param node the node, not null.
     */
    public synchronized void meet(final KnownNode node) {
        Contact contact = contacts.get(node.node());
        boolean moved = contact != null && !contact.address().equals(node.address());
        if ((contact == null || moved) && contacts.size() < MAXIMUM_NODES) {
            contacts.put(node.node(), new Contact(node.address(), clock.nowMs()));
        }
    }

    /**
     * Lists the reports of nodes that are alive.
     *
     * @return the reports with their age, never null.
     */
    public synchronized List<ReceivedReport> live() {
        long oldestMs = clock.nowMs() - LIVENESS_MS;
        List<ReceivedReport> live = new ArrayList<>(sightings.size());
        for (ReceivedReport sighting : sightings.values()) {
            if (sighting.atMs() >= oldestMs) {
                live.add(sighting);
            }
        }
        return live;
    }

    /**
     * Finds the latest report of a node.
     *
     * @param node the name, not null.
     * @return the report, or empty if the node has not reported lately.
     */
    public synchronized Optional<ReceivedReport> find(final String node) {
        return Optional.ofNullable(sightings.get(node));
    }

    /**
     * Lists the nodes to report to: those that have reported, and those that are only known of.
     *
     * @return the nodes, never null.
     */
    public synchronized Collection<KnownNode> audience() {
        long oldestMs = clock.nowMs() - MEMORY_MS;
        sightings.values().removeIf(sighting -> sighting.atMs() < oldestMs);
        replacedIncarnations.keySet().retainAll(sightings.keySet());
        contacts.values().removeIf(contact -> contact.sinceMs() < oldestMs);
        Map<String, KnownNode> audience = new HashMap<>();
        contacts.forEach((node, contact) -> audience.put(node, new KnownNode(node, contact.address())));
        for (ReceivedReport sighting : sightings.values()) {
            NodeReport report = sighting.report();
            audience.put(report.node(), new KnownNode(report.node(), report.address()));
        }
        return audience.values();
    }

    /** What a report changed. Immutable and thread-safe. */
    public enum Change {
        /** The node is new, has restarted, or had been silent. */
        REGAINED,
        /** The node was known. */
        REFRESHED,
        /** The report came late and changed nothing. */
        OUTDATED
    }

    /**
     * A node's latest report and when it came. Immutable and thread-safe.
     *
     * @param report the report.
     * @param atMs when it came, in milliseconds of the local clock.
     */
    public record ReceivedReport(NodeReport report, long atMs) {}

    /** Where a node may be found, and since when that is known. Immutable and thread-safe. */
    private record Contact(NodeAddress address, long sinceMs) {}
}
