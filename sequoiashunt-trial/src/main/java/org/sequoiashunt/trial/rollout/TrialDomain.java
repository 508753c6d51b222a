package org.sequoiashunt.trial.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.Section;

/**
 * Failure domain in a trial: one blackboard that its nodes share, and entries on their way from other domains.
 *
 * <p>Confined to one thread.
 */
final class TrialDomain {

    private static final int DOMAINS_PER_REGION = 2;
    private static final long NEAR_DELAY_MS = 150;
    private static final long FAR_DELAY_MS = 250;

    private final int number;
    private final Blackboard blackboard = new Blackboard();
    private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>();
    private final List<Entry> accepted = new ArrayList<>();

    TrialDomain(final int number) {
        this.number = number;
        blackboard.addListener(entry -> {
            if (entry.key().section() == Section.EVIDENCE || entry.key().section() == Section.ROLLOUT) {
                accepted.add(entry);
            }
        });
    }

    /**
     * Returns the blackboard of the domain's nodes.
     *
     * @return the blackboard, never null.
     */
    Blackboard blackboard() {
        return blackboard;
    }

    /**
     * Returns the name.
     *
     * @return the name, never null.
     */
    String failureDomain() {
        return "domain-" + number;
    }

    /**
     * Sends what this domain accepted since the last call to all others. Each ignores what it has.
     *
     * @param domains all domains, not null.
     * @param nowMs the current time in milliseconds.
     */
    void replicate(final List<TrialDomain> domains, final long nowMs) {
        for (TrialDomain other : domains) {
            if (other != this) {
                boolean near = other.number / DOMAINS_PER_REGION == number / DOMAINS_PER_REGION;
                long atMs = nowMs + (near ? NEAR_DELAY_MS : FAR_DELAY_MS);
                accepted.forEach(entry -> other.arrivals.add(new Arrival(atMs, entry)));
            }
        }
        accepted.clear();
    }

    /**
     * Merges what has arrived.
     *
     * @param nowMs the current time in milliseconds.
     */
    void deliver(final long nowMs) {
        while (!arrivals.isEmpty() && arrivals.peek().atMs() <= nowMs) {
            Entry entry = arrivals.remove().entry();
            blackboard.merge(entry);
            accepted.remove(entry);
        }
    }

    /** Entry on its way. Immutable. */
    private record Arrival(long atMs, Entry entry) implements Comparable<Arrival> {

        @Override
        public int compareTo(final Arrival other) {
            return Long.compare(atMs, other.atMs);
        }
    }
}
