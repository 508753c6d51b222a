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
    private final Deque<AdoptedRoster> adopted = new ArrayDeque<>();

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
        return Optional.ofNullable(adopted.peekFirst()).map(newest -> newest.roster);
    }

    long epoch() {
        return adopted.isEmpty() ? 0 : adopted.peekFirst().roster.epoch();
    }

    /**
     * Adds a roster of a newer epoch; if epochs were missed, the history starts with it.
     *
     * @param roster the roster, not null, of a later epoch than {@link #epoch()}.
     */
    void adopt(final Roster roster) {
        if (roster.epoch() != epoch() + 1) {
            adopted.clear();
        }
        adopted.addFirst(new AdoptedRoster(roster));
        if (adopted.size() > MAXIMUM_EPOCHS) {
            adopted.removeLast();
        }
    }

    /**
     * Notes that a majority of the newest roster has adopted it.
     *
     * @param nowMs the time.
     */
    void activate(final long nowMs) {
        AdoptedRoster current = adopted.peekFirst();
        if (current.activeMs == NEVER_MS) {
            current.activeMs = nowMs;
        }
        dropSuperseded(nowMs);
    }

    /**
     * Tells whether a majority of the newest roster was seen to have adopted it.
     *
     * @return true if so.
     */
    boolean isActive() {
        return !adopted.isEmpty() && adopted.peekFirst().activeMs != NEVER_MS;
    }

    /**
     * Tells whether this node had its part in every claim of a key that may have been granted within the window.
     *
     * @param key the key, not null.
     * @param nowMs the time.
     * @param sawBeginning whether this process runs since before the first epoch.
     * @return true if so.
     */
    boolean isComplete(final ClaimKey key, final long nowMs, final boolean sawBeginning) {
        for (AdoptedRoster epoch : adopted) {
            if (!hadPart(epoch.roster, key) || !sharesGuard(epoch.roster)) {
                return false;
            }
            if (isPast(epoch, nowMs)) {
                return true;
            }
        }
        return sawBeginning && startsWithFirstEpoch();
    }

    private boolean startsWithFirstEpoch() {
        return !adopted.isEmpty() && adopted.peekLast().roster.epoch() == 1;
    }

    private boolean hadPart(final Roster roster, final ClaimKey key) {
        boolean byKey = rules.contains(ClaimRule.KEY_HISTORY);
        return (byKey ? GuardState.guardsOf(roster, key) : roster.guards()).contains(node);
    }

    /**
     * Tells whether every majority of a key's guards at the present epoch shares a guard with every majority at an
     * earlier one, if all of the former were guards at both. A roster that shrank from three to one does not.
     */
    private boolean sharesGuard(final Roster earlier) {
        int present = guardsPerKey(adopted.peekFirst().roster);
        int past = guardsPerKey(earlier);
        boolean overlap = GuardState.majorityOf(present) + GuardState.majorityOf(past) > past;
        return overlap || !rules.contains(ClaimRule.SHARED_MAJORITY);
    }

    private static int guardsPerKey(final Roster roster) {
        return Math.min(GuardState.GUARDS_PER_KEY, roster.guards().size());
    }

    private boolean isPast(final AdoptedRoster epoch, final long nowMs) {
        return epoch.activeMs != NEVER_MS && nowMs - epoch.activeMs >= retentionMs;
    }

    private void dropSuperseded(final long nowMs) {
        boolean covered = false;
        Iterator<AdoptedRoster> epochs = adopted.iterator();
        while (epochs.hasNext()) {
            AdoptedRoster epoch = epochs.next();
            if (covered) {
                epochs.remove();
            }
            covered |= isPast(epoch, nowMs);
        }
    }

    /** Roster with the time at which a majority of it was first heard. Guarded by the standing's lock. */
    private static final class AdoptedRoster {

        private final Roster roster;
        private long activeMs = NEVER_MS;

        private AdoptedRoster(final Roster roster) {
            this.roster = roster;
        }
    }
}
