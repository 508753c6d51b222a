package org.sequoiashunt.execution;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.time.Clock;

/**
 * What one node knows about its own state as a guard of a home group: the roster, who answers, and how far back its
 * history of a key is complete.
 *
 * <p>Thread-safe: one lock. Invariant: the epoch never decreases.
 */
public final class GuardState implements GuardReachability {

    /** How many guards hold a key. */
    public static final int GUARDS_PER_KEY = 3;

    private final String node;
    private final String group;
    private final Clock clock;
    private final ClaimTiming timing;
    private final Set<ClaimRule> rules;
    private final long startMs;
    private final EpochHistory epochHistory;
    private final GuardHeartbeatTimes heartbeatTimes;
    private boolean sawEmptyStore;
    private boolean hasReadStore;

    /**
     * Creates the standing of a node that has just started.
     *
     * @param node the name of the node, not null.
     * @param group the home group, not null.
     * @param clock the time, not null.
     * @param timing the times, not null.
     * @param rules the rules that are on, not null.
     */
    public GuardState(
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
        this.epochHistory = new EpochHistory(node, timing.retentionMs(), this.rules);
        this.heartbeatTimes = new GuardHeartbeatTimes(node, timing.fenceMs());
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
        return epochHistory.roster();
    }

    /**
     * Returns the newest epoch known.
     *
     * @return the epoch, zero if no roster is known.
     */
    public synchronized long epoch() {
        return epochHistory.epoch();
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
        long nowMs = clock.nowMs();
        epochHistory.adopt(roster);
        heartbeatTimes.restart(roster.guards(), nowMs);
        updateActivation(nowMs);
        return true;
    }

    /**
     * Notes what the store holds, read in the life of this process.
     *
     * @param roster the roster, or empty if the store holds none.
     */
    public synchronized void recordStoreRead(final Optional<Roster> roster) {
        hasReadStore = true;
        sawEmptyStore |= roster.isEmpty() && epoch() == 0;
        roster.ifPresent(this::adopt);
        updateActivation(clock.nowMs());
    }

    /**
     * Notes that this node asks the other guards for an answer. After a gap of its own, silence is counted anew: what
     * was not asked cannot be missed.
     */
    public synchronized void recordHeartbeatsSent() {
        heartbeatTimes.recordSent(clock.nowMs());
    }

    /**
     * Notes that a guard answered a heartbeat.
     *
     * @param guard the name of the guard, not null.
     * @param guardEpoch the epoch that the guard knows.
     * @param sentMs when the heartbeat was sent, by this node's clock.
     */
    public synchronized void recordAnswer(final String guard, final long guardEpoch, final long sentMs) {
        long nowMs = clock.nowMs();
        if (sentMs > nowMs) {
            return;
        }
        heartbeatTimes.recordAnswer(guard, sentMs, guardEpoch == epoch());
        updateActivation(nowMs);
    }

    /**
     * Tells whether this node may answer heartbeats and grant claims after its start: it must have learned the epoch
     * from the store, or from a majority of the others after their memory of its earlier life has lapsed.
     *
     * @return true if this node takes part.
     */
    public synchronized boolean isStartConfirmed() {
        if (hasReadStore || !rules.contains(ClaimRule.CONFIRMED_START)) {
            return true;
        }
        long nowMs = clock.nowMs();
        boolean earlierAnswersExpired = nowMs - startMs > 2 * timing.fenceMs() + timing.heartbeatMs();
        return earlierAnswersExpired && epoch() > 0 && answeringGuardCount(nowMs) >= majority();
    }

    /**
     * Tells whether a majority of the roster answered within the fence time at this node's epoch.
     *
     * @return true if this node is a guard and not cut off.
     */
    public synchronized boolean hasReachableMajority() {
        long nowMs = clock.nowMs();
        updateActivation(nowMs);
        return isGuard() && (!rules.contains(ClaimRule.FENCE) || hasReachableMajority(nowMs));
    }

    /**
     * Tells whether a majority of the roster has adopted it, as far as this node has seen.
     *
     * @return true if the roster may be replaced by the next one.
     */
    public synchronized boolean isAdoptedByMajority() {
        updateActivation(clock.nowMs());
        return epochHistory.isActive();
    }

    /**
     * Tells whether this node is in the roster.
     *
     * @return true if this node is a guard of the group.
     */
    public synchronized boolean isGuard() {
        return guards().contains(node);
    }

    /**
     * Tells whether no claim of a key can have been granted within the retention window without this node's having
     * had its part as one of the key's guards.
     *
     * @param key the key, not null.
     * @return true if this node's grant counts.
     */
    public synchronized boolean hasCompleteHistory(final ClaimKey key) {
        if (!rules.contains(ClaimRule.COMPLETE_HISTORY)) {
            return true;
        }
        long nowMs = clock.nowMs();
        updateActivation(nowMs);
        boolean startedBeforeFirstEpoch = sawEmptyStore || !rules.contains(ClaimRule.FIRST_EPOCH_WITNESSED);
        return epochHistory.isComplete(key, nowMs, startedBeforeFirstEpoch);
    }

    @Override
    public synchronized long unreachableMs(final String guard) {
        return heartbeatTimes.unreachableMs(guard, clock.nowMs());
    }

    /**
     * Returns the guards of a key.
     *
     * @param roster the roster, not null.
     * @param key the key, not null.
     * @return three names, or all of a smaller roster.
     */
    public static List<String> guardsOf(final Roster roster, final ClaimKey key) {
        return RendezvousHash.topRanked(key, roster.guards(), GUARDS_PER_KEY);
    }

    /**
     * Returns how many of a set are a majority.
     *
     * @param size the size of the set.
     * @return the smallest number that is more than half.
     */
    static int majorityOf(final int size) {
        return size / 2 + 1;
    }

    private void updateActivation(final long nowMs) {
        if (epoch() > 0 && hasReachableMajority(nowMs)) {
            epochHistory.activate(nowMs);
        }
    }

    private boolean hasReachableMajority(final long nowMs) {
        int self = isGuard() ? 1 : 0;
        return self + answeringGuardCount(nowMs) >= majority();
    }

    private int majority() {
        return majorityOf(guards().size());
    }

    private int answeringGuardCount(final long nowMs) {
        return heartbeatTimes.countAnswering(guards(), nowMs);
    }

    private List<String> guards() {
        return epochHistory.roster().map(Roster::guards).orElse(List.of());
    }
}
