package org.sequoiashunt.execution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.time.Clock;

/**
 * What one node knows about its own standing as a guard of a home group: the roster, who answers, and how far back its
 * history of a key is complete.
 *
 * <p>Thread-safe: one lock. Invariant: the epoch never decreases.
 */
public final class GuardStanding implements GuardReachability {

    /** How many guards hold a key. */
    public static final int GUARDS_PER_KEY = 3;

    /** Epochs remembered at most; what happened in older ones counts as not known. */
    private static final int MAXIMUM_EPOCHS = 64;

    private static final long NEVER_MS = Long.MIN_VALUE;

    private final String node;
    private final String group;
    private final Clock clock;
    private final ClaimTiming timing;
    private final Set<ClaimRule> rules;
    private final long startMs;

    /** Consecutive epochs adopted, the newest first. */
    private final Deque<AdoptedRoster> adopted = new ArrayDeque<>();

    private final GuardAnswers answers;
    private boolean storeWasEmpty;
    private boolean storeWasRead;

    /**
     * Creates the standing of a node that has just started.
     *
     * @param node the name of the node, not null.
     * @param group the home group, not null.
     * @param clock the time, not null.
     * @param timing the times, not null.
     * @param rules the rules that are on, not null.
     */
    public GuardStanding(
            final String node,
            final String group,
            final Clock clock,
            final ClaimTiming timing,
            final Set<ClaimRule> rules) {
        this.node = Objects.requireNonNull(node, "node");
        this.group = Objects.requireNonNull(group, "group");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timing = Objects.requireNonNull(timing, "timing");
        this.rules = Set.copyOf(rules);
        this.startMs = clock.nowMs();
        this.answers = new GuardAnswers(node, timing.fenceMs());
    }

    /**
     * Returns the name of the home group.
     *
     * @return the name, never null.
     */
    public String group() {
        return group;
    }

    /**
     * Returns the newest roster known.
     *
     * @return the roster, or empty if none is known.
     */
    public synchronized Optional<Roster> roster() {
        return Optional.ofNullable(adopted.peekFirst()).map(first -> first.roster);
    }

    /**
     * Returns the newest epoch known.
     *
     * @return the epoch, zero if no roster is known.
     */
    public synchronized long epoch() {
        return adopted.isEmpty() ? 0 : adopted.peekFirst().roster.epoch();
    }

    /**
     * Adopts a roster if it is newer than the one known.
     *
     * @param roster the roster, not null; ignored if it belongs to another group.
     * @return true if the roster was adopted.
     */
    public synchronized boolean adopt(final Roster roster) {
        if (!roster.group().equals(group) || roster.epoch() <= epoch()) {
            return false;
        }
        if (roster.epoch() != epoch() + 1) {
            adopted.clear();
        }
        long nowMs = clock.nowMs();
        adopted.addFirst(new AdoptedRoster(roster));
        if (adopted.size() > MAXIMUM_EPOCHS) {
            adopted.removeLast();
        }
        answers.restart(roster.guards(), nowMs);
        updateActivity(nowMs);
        return true;
    }

    /**
     * Notes what the store holds, read in the life of this process.
     *
     * @param roster the roster, or empty if the store holds none.
     */
    public synchronized void storeRead(final Optional<Roster> roster) {
        storeWasRead = true;
        storeWasEmpty |= roster.isEmpty() && adopted.isEmpty();
        roster.ifPresent(this::adopt);
        updateActivity(clock.nowMs());
    }

    /**
     * Notes that this node asks the other guards for an answer. After a gap of its own, silence is counted anew: what
     * was not asked cannot be missed.
     */
    public synchronized void asking() {
        answers.asking(clock.nowMs());
    }

    /**
     * Notes that a guard answered a heartbeat.
     *
     * @param guard the name of the guard, not null.
     * @param guardEpoch the epoch that the guard knows.
     * @param sentMs when the heartbeat was sent, by this node's clock.
     */
    public synchronized void answered(final String guard, final long guardEpoch, final long sentMs) {
        long nowMs = clock.nowMs();
        if (sentMs > nowMs) {
            return;
        }
        answers.answered(guard, sentMs, guardEpoch == epoch());
        updateActivity(nowMs);
    }

    /**
     * Tells whether this node may answer heartbeats and grant claims after its start: it must have learned the epoch
     * from the store, or from a majority of the others after their memory of its earlier life has lapsed.
     *
     * @return true if this node takes part.
     */
    public synchronized boolean isConfirmed() {
        if (storeWasRead || !rules.contains(ClaimRule.CONFIRMED_START)) {
            return true;
        }
        long nowMs = clock.nowMs();
        boolean lapsed = nowMs - startMs > 2 * timing.fenceMs() + timing.heartbeatMs();
        return lapsed && !adopted.isEmpty() && othersAnswering(nowMs) >= majority();
    }

    /**
     * Tells whether a majority of the roster answered within the fence time at this node's epoch.
     *
     * @return true if this node is a guard and not cut off.
     */
    public synchronized boolean isHeard() {
        long nowMs = clock.nowMs();
        updateActivity(nowMs);
        return isGuard() && (!rules.contains(ClaimRule.FENCE) || isHeard(nowMs));
    }

    /**
     * Tells whether a majority of the roster has adopted it, as far as this node has seen.
     *
     * @return true if the roster may be replaced by the next one.
     */
    public synchronized boolean isSettled() {
        updateActivity(clock.nowMs());
        return !adopted.isEmpty() && adopted.peekFirst().activeMs != NEVER_MS;
    }

    /**
     * Tells whether this node is in the roster.
     *
     * @return true if this node is a guard of the group.
     */
    public synchronized boolean isGuard() {
        return !adopted.isEmpty() && adopted.peekFirst().roster.guards().contains(node);
    }

    /**
     * Tells whether no claim of a key can have been granted within the retention window without this node's having
     * had its part as one of the key's guards.
     *
     * @param key the key, not null.
     * @return true if this node's grant counts.
     */
    public synchronized boolean isComplete(final ClaimKey key) {
        if (!rules.contains(ClaimRule.COMPLETE_HISTORY)) {
            return true;
        }
        long nowMs = clock.nowMs();
        updateActivity(nowMs);
        for (AdoptedRoster epoch : adopted) {
            if (!hadPart(epoch.roster, key) || !sharesGuard(epoch.roster)) {
                return false;
            }
            if (epoch.activeMs != NEVER_MS && isPast(epoch.activeMs, nowMs)) {
                return true;
            }
        }
        return isFirstEpochWitnessed();
    }

    @Override
    public synchronized long silentMs(final String guard) {
        return answers.silentMs(guard, clock.nowMs());
    }

    /**
     * Returns the guards of a key.
     *
     * @param roster the roster, not null.
     * @param key the key, not null.
     * @return three names, or all of a smaller roster.
     */
    public static List<String> guardsOf(final Roster roster, final ClaimKey key) {
        return RendezvousHash.first(key, roster.guards(), GUARDS_PER_KEY);
    }

    private boolean hadPart(final Roster roster, final ClaimKey key) {
        boolean byKey = rules.contains(ClaimRule.KEY_HISTORY);
        return (byKey ? guardsOf(roster, key) : roster.guards()).contains(node);
    }

    /**
     * Tells whether every majority of a key's guards at the present epoch shares a guard with every majority at an
     * earlier one, if all of the former were guards at both. A roster that shrank from three to one does not.
     */
    private boolean sharesGuard(final Roster earlier) {
        int present = guardsPerKey(adopted.peekFirst().roster);
        int past = guardsPerKey(earlier);
        boolean overlap = majorityOf(present) + majorityOf(past) > past;
        return overlap || !rules.contains(ClaimRule.SHARED_MAJORITY);
    }

    private static int guardsPerKey(final Roster roster) {
        return Math.min(GUARDS_PER_KEY, roster.guards().size());
    }

    private static int majorityOf(final int size) {
        return size / 2 + 1;
    }

    /** The oldest epoch adopted is the first one, and this process runs since before it: nothing can precede it. */
    private boolean isFirstEpochWitnessed() {
        boolean witnessed = storeWasEmpty || !rules.contains(ClaimRule.FIRST_EPOCH_WITNESSED);
        return witnessed && !adopted.isEmpty() && adopted.peekLast().roster.epoch() == 1;
    }

    private boolean isPast(final long sinceMs, final long nowMs) {
        return nowMs - sinceMs >= timing.retentionMs();
    }

    private void updateActivity(final long nowMs) {
        if (adopted.isEmpty() || !isHeard(nowMs)) {
            return;
        }
        AdoptedRoster current = adopted.peekFirst();
        if (current.activeMs == NEVER_MS) {
            current.activeMs = nowMs;
        }
        dropSuperseded(nowMs);
    }

    private void dropSuperseded(final long nowMs) {
        if (isFirstEpochWitnessed() && adopted.size() == 1) {
            return;
        }
        boolean covered = false;
        Iterator<AdoptedRoster> epochs = adopted.iterator();
        while (epochs.hasNext()) {
            AdoptedRoster epoch = epochs.next();
            if (covered) {
                epochs.remove();
            }
            covered |= epoch.activeMs != NEVER_MS && isPast(epoch.activeMs, nowMs);
        }
    }

    private boolean isHeard(final long nowMs) {
        int self = isGuard() ? 1 : 0;
        return self + othersAnswering(nowMs) >= majority();
    }

    private int majority() {
        return majorityOf(adopted.peekFirst().roster.guards().size());
    }

    private int othersAnswering(final long nowMs) {
        return answers.countOthers(adopted.peekFirst().roster.guards(), nowMs);
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
