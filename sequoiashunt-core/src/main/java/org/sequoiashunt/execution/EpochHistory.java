package org.sequoiashunt.execution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;

/**
 * Rosters that a node adopted in consecutive epochs, as far back as its history of a key may depend on them.
 *
 * <p>Not thread-safe: guarded by the standing. Invariants: epochs only grow; the epochs kept follow each other without
 * a gap.
 */
final class EpochHistory {

    /** Epochs remembered at most; what happened in older ones counts as not known. */
    private static final int MAXIMUM_EPOCHS = 64;

    private static final long NEVER_MS = Long.MIN_VALUE;

    private final String node;
    private final long retentionMs;
    private final Set<ClaimRule> rules;
    private final Deque<AdoptedRoster> adoptedRosters = new ArrayDeque<>();

    /**
     * Creates an empty history.
     *
     * @param node the name of this node, not null.
     * @param retentionMs the retention window, in milliseconds.
     * @param rules the rules that are on, not null.
     */
    EpochHistory(final String node, final long retentionMs, final Set<ClaimRule> rules) {
        this.node = node;
        this.retentionMs = retentionMs;
        this.rules = rules;
    }

    Optional<Roster> roster() {
        return Optional.ofNullable(adoptedRosters.peekFirst()).map(newest -> newest.roster);
    }

    long epoch() {
        return adoptedRosters.isEmpty() ? 0 : adoptedRosters.peekFirst().roster.epoch();
    }

    /**
     * Adds a roster of a newer epoch; if epochs were missed, the history starts with it.
     *
     * @param roster the roster, not null, of a later epoch than {@link #epoch()}.
     */
    void adopt(final Roster roster) {
        if (roster.epoch() != epoch() + 1) {
            adoptedRosters.clear();
        }
        adoptedRosters.addFirst(new AdoptedRoster(roster));
        if (adoptedRosters.size() > MAXIMUM_EPOCHS) {
            adoptedRosters.removeLast();
        }
    }

    /**
     * Notes that a majority of the newest roster has adopted it.
     *
     * @param nowMs the time.
     */
    void activate(final long nowMs) {
        AdoptedRoster current = adoptedRosters.peekFirst();
        if (current.activatedMs == NEVER_MS) {
            current.activatedMs = nowMs;
        }
        removeUnneededEpochs(nowMs);
    }

    /**
     * Tells whether a majority of the newest roster was seen to have adopted it.
     *
     * @return true if so.
     */
    boolean isActive() {
        return !adoptedRosters.isEmpty() && adoptedRosters.peekFirst().activatedMs != NEVER_MS;
    }

    /**
     * Tells whether this node had its part in every claim of a key that may have been granted within the window.
     *
     * @param key the key, not null.
     * @param nowMs the time.
     * @param startedBeforeFirstEpoch whether this process runs since before the first epoch.
     * @return true if so.
     */
    boolean isComplete(final ClaimKey key, final long nowMs, final boolean startedBeforeFirstEpoch) {
        for (AdoptedRoster epoch : adoptedRosters) {
            if (!wasGuard(epoch.roster, key) || !majoritiesOverlap(epoch.roster)) {
                return false;
            }
            if (coversRetentionWindow(epoch, nowMs)) {
                return true;
            }
        }
        return startedBeforeFirstEpoch && startsWithFirstEpoch();
    }

    private boolean startsWithFirstEpoch() {
        return !adoptedRosters.isEmpty() && adoptedRosters.peekLast().roster.epoch() == 1;
    }

    private boolean wasGuard(final Roster roster, final ClaimKey key) {
        boolean byKey = rules.contains(ClaimRule.KEY_HISTORY);
        return (byKey ? GuardState.guardsOf(roster, key) : roster.guards()).contains(node);
    }

    /**
     * Tells whether every majority of a key's guards at the present epoch shares a guard with every majority at an
     * earlier one, if all of the former were guards at both. A roster that shrank from three to one does not.
     */
    private boolean majoritiesOverlap(final Roster earlier) {
        int currentSize = guardsPerKey(adoptedRosters.peekFirst().roster);
        int earlierSize = guardsPerKey(earlier);
        boolean overlap = GuardState.majorityOf(currentSize) + GuardState.majorityOf(earlierSize) > earlierSize;
        return overlap || !rules.contains(ClaimRule.SHARED_MAJORITY);
    }

    private static int guardsPerKey(final Roster roster) {
        return Math.min(GuardState.GUARDS_PER_KEY, roster.guards().size());
    }

    private boolean coversRetentionWindow(final AdoptedRoster epoch, final long nowMs) {
        return epoch.activatedMs != NEVER_MS && nowMs - epoch.activatedMs >= retentionMs;
    }

    private void removeUnneededEpochs(final long nowMs) {
        boolean covered = false;
        Iterator<AdoptedRoster> epochs = adoptedRosters.iterator();
        while (epochs.hasNext()) {
            AdoptedRoster epoch = epochs.next();
            if (covered) {
                epochs.remove();
            }
            covered |= coversRetentionWindow(epoch, nowMs);
        }
    }

    /** Roster with the time at which a majority of it was first heard. Guarded by the standing's lock. */
    private static final class AdoptedRoster {

        private final Roster roster;
        private long activatedMs = NEVER_MS;

        private AdoptedRoster(final Roster roster) {
            this.roster = roster;
        }
    }
}
