package org.sequoiashunt.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the reports that a relay passes on in one direction: from its failure domain to the others, or back.
 *
 * <p>Periodically all reports that are news; between two periods those that must not wait.
 *
 * <p>Confined to one thread. Invariant: a report is selected at most once.
 */
final class RelayDirection {

    /** Shortest time between two batches in one direction: changes in quick succession are sent together. */
    static final long URGENT_SPACING_MS = 200;

    /** Shortest time between two reports of one node that relays pass on in one direction, unless one is urgent. */
    private static final long LEAST_NEWS_MS = ReportExchange.RELAY_PERIOD_MS - ReportExchange.REPORT_PERIOD_MS / 2;

    private final Set<String> urgentNodes = new HashSet<>();
    private final Map<String, RelayedStamp> relayedStamps = new HashMap<>();
    private long nextPeriodicMs;
    private long lastBatchMs;
    private long batches;

    RelayDirection(final long firstBatchMs) {
        this.nextPeriodicMs = firstBatchMs;
        this.lastBatchMs = firstBatchMs - URGENT_SPACING_MS;
    }

    /** Makes the latest report of a node due at once. */
    void markUrgent(final String node) {
        urgentNodes.add(node);
    }

    /** Forgets which nodes have urgent reports. */
    void clearUrgent() {
        urgentNodes.clear();
    }

    /** Returns the number of periodic batches taken so far. */
    long batches() {
        return batches;
    }

    /** Returns whether a batch is due. */
    boolean isDue(final long nowMs) {
        return nowMs >= nextPeriodicMs || !urgentNodes.isEmpty() && nowMs - lastBatchMs >= URGENT_SPACING_MS;
    }

    /** Selects the due reports that are not yet relayed: all of them, or between two periods the urgent ones. */
    List<FleetView.ReceivedReport> takeDue(final List<FleetView.ReceivedReport> reports, final long nowMs) {
        boolean periodic = nowMs >= nextPeriodicMs;
        if (periodic) {
            nextPeriodicMs = Math.max(
                    nextPeriodicMs + ReportExchange.RELAY_PERIOD_MS, nowMs + ReportExchange.RELAY_PERIOD_MS / 2);
            batches++;
        }
        lastBatchMs = nowMs;
        List<FleetView.ReceivedReport> due = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (FleetView.ReceivedReport received : reports) {
            NodeReport report = received.report();
            present.add(report.node());
            boolean urgent = urgentNodes.contains(report.node());
            if ((periodic || urgent) && isNews(received, urgent)) {
                markRelayed(received);
                due.add(received);
            }
        }
        relayedStamps.keySet().retainAll(present);
        urgentNodes.clear();
        return due;
    }

    /**
     * Returns whether a report was not yet relayed and, unless it is urgent, is newer by nearly a period than the
     * last one of its node: two relays together pass it on about as often as one.
     */
    private boolean isNews(final FleetView.ReceivedReport received, final boolean urgent) {
        RelayedStamp last = relayedStamps.get(received.report().node());
        if (last == null || last.incarnation() != received.report().incarnation()) {
            return true;
        }
        long newerByMs = received.receivedAtMs() - last.receivedAtMs();
        return received.report().sequence() != last.sequence() && (urgent || newerByMs >= LEAST_NEWS_MS);
    }

    /** Records that a report was passed on, by this relay or another one. */
    void markRelayed(final FleetView.ReceivedReport received) {
        NodeReport report = received.report();
        relayedStamps.put(
                report.node(), new RelayedStamp(report.incarnation(), report.sequence(), received.receivedAtMs()));
    }

    /** The last report of a node that was relayed in one direction. Immutable and thread-safe. */
    private record RelayedStamp(long incarnation, long sequence, long receivedAtMs) {}
}
