package org.sequoiashunt.execution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;

/**
 * Stores the rosters that a node adopted in consecutive epochs, as far back as is needed to decide whether the node has
 * a complete history of the claims of a key.
 *
 * <p>Not thread-safe: guarded by the lock of {@link GuardState}. Invariants: epochs only increase; the stored epochs
 * are consecutive.
 */
final class EpochHistory {

    /** Maximum number of stored epochs; the node counts as having no history of older ones. */
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
     * @param retentionMs how long claims are retained, in milliseconds.
     * @param rules the rules in force, not null.
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
     * Adds a roster of a newer epoch. If the node missed an epoch in between, discards all older rosters.
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
     * Records that a majority of the newest roster has adopted it. There must be a roster.
     *
     * @param nowMs the current time, in milliseconds of the local clock.
     */
    void recordMajorityAdoption(final long nowMs) {
        AdoptedRoster current = adoptedRosters.peekFirst();
        if (current.majorityAdoptedMs == NEVER_MS) {
            current.majorityAdoptedMs = nowMs;
        }
        removeUnneededEpochs(nowMs);
    }

    /**
     * Returns whether this node has observed that a majority of the newest roster adopted it.
     *
     * @return true if a majority has adopted it; false if there is no roster.
     */
    boolean isAdoptedByMajority() {
        return !adoptedRosters.isEmpty() && adoptedRosters.peekFirst().majorityAdoptedMs != NEVER_MS;
    }

    /**
     * Returns whether this node was a guard of a key for every claim that may have been granted within the retention
     * window.
     *
     * @param key the key of the claims, not null.
     * @param nowMs the current time, in milliseconds of the local clock.
     * @param startedBeforeFirstEpoch whether this process read the store before it held the first roster.
     * @return true if the history is complete.
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
     * Returns whether every majority of a key's guards in the newest epoch shares a guard with every majority in an
     * earlier epoch, provided that all guards of the newest epoch were guards in the earlier one. A roster that shrank
     * from three guards to one does not meet this condition.
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
        return epoch.majorityAdoptedMs != NEVER_MS && nowMs - epoch.majorityAdoptedMs >= retentionMs;
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

    /**
     * Roster with the time at which this node first observed that a majority had adopted it. Not thread-safe: guarded
     * by the lock of {@link GuardState}.
     */
    private static final class AdoptedRoster {

        private final Roster roster;
        private long majorityAdoptedMs = NEVER_MS;

        private AdoptedRoster(final Roster roster) {
            this.roster = roster;
        }
    }
}
