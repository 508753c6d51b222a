package org.sequoiashunt.execution;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.time.Clock;

/**
 * State of one node as a guard of a home group: the roster, which other guards answer heartbeats, and for which keys
 * the node has a complete history of claims.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: the epoch never decreases.
 */
public final class GuardState implements GuardReachability {

    /** Number of guards that record the claims of a key. */
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
     * Creates the state of a node that has just started and has no roster yet.
     *
     * @param node the name of the node, not null.
     * @param group the home group, not null.
     * @param clock the local clock, not null.
     * @param timing the time limits of claims, not null.
     * @param rules the rules in force, not null.
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
     * Returns the newest roster that this node has adopted.
     *
     * @return the roster, or empty if the node has adopted none.
     */
    public synchronized Optional<Roster> roster() {
        return epochHistory.roster();
    }

    /**
     * Returns the epoch of the newest roster that this node has adopted.
     *
     * @return the epoch, zero if the node has adopted no roster.
     */
    public synchronized long epoch() {
        return epochHistory.epoch();
    }

    /**
     * Adopts a roster if its epoch is newer than the current one.
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
        updateMajorityAdoption(nowMs);
        return true;
    }

    /**
     * Records the result of reading the roster from the store. The read must have started after this process did.
     *
     * @param roster the roster, or empty if the store holds none.
     */
    public synchronized void recordStoreRead(final Optional<Roster> roster) {
        hasReadStore = true;
        sawEmptyStore |= roster.isEmpty() && epoch() == 0;
        roster.ifPresent(this::adopt);
        updateMajorityAdoption(clock.nowMs());
    }

    /**
     * Records that this node sends heartbeats to the other guards. If it has sent none for longer than the fence time,
     * every guard counts as reachable now, since the guards had no heartbeat to answer.
     */
    public synchronized void recordHeartbeatsSent() {
        heartbeatTimes.recordSent(clock.nowMs());
    }

    /**
     * Records that a guard answered a heartbeat. Ignores the answer if its heartbeat was sent in the future.
     *
     * @param guard the name of the guard, not null.
     * @param guardEpoch the epoch with which the guard answered.
     * @param sentMs when the heartbeat was sent, in milliseconds of this node's clock.
     */
    public synchronized void recordAnswer(final String guard, final long guardEpoch, final long sentMs) {
        long nowMs = clock.nowMs();
        if (sentMs > nowMs) {
            return;
        }
        heartbeatTimes.recordAnswer(guard, sentMs, guardEpoch == epoch());
        updateMajorityAdoption(nowMs);
    }

    /**
     * Returns whether this node may answer heartbeats and grant claims after its start. It must have read the epoch
     * from the store, or a majority of the roster, not counting this node, must confirm the epoch after the answers
     * that an earlier process of this node gave have expired.
     *
     * @return true if this node may act as a guard.
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
     * Returns whether this node is a guard and a majority of the roster, counting this node, answered heartbeats at its
     * epoch within the fence time. Without {@link ClaimRule#FENCE}, being a guard is enough.
     *
     * @return true if this node is a guard and not partitioned from the majority.
     */
    public synchronized boolean hasReachableMajority() {
        long nowMs = clock.nowMs();
        updateMajorityAdoption(nowMs);
        return isGuard() && (!rules.contains(ClaimRule.FENCE) || hasReachableMajority(nowMs));
    }

    /**
     * Returns whether this node has observed that a majority of the roster adopted it.
     *
     * @return true if the roster may be replaced by the next one.
     */
    public synchronized boolean isAdoptedByMajority() {
        updateMajorityAdoption(clock.nowMs());
        return epochHistory.isAdoptedByMajority();
    }

    /**
     * Returns whether the roster lists this node.
     *
     * @return true if this node is a guard of the group.
     */
    public synchronized boolean isGuard() {
        return guards().contains(node);
    }

    /**
     * Returns whether this node was one of the key's guards for every claim of the key that may have been granted
     * within the retention window.
     *
     * @param key the key of the claims, not null.
     * @return true if this node's grant counts.
     */
    public synchronized boolean hasCompleteHistory(final ClaimKey key) {
        if (!rules.contains(ClaimRule.COMPLETE_HISTORY)) {
            return true;
        }
        long nowMs = clock.nowMs();
        updateMajorityAdoption(nowMs);
        boolean startedBeforeFirstEpoch = sawEmptyStore || !rules.contains(ClaimRule.FIRST_EPOCH_WITNESSED);
        return epochHistory.isComplete(key, nowMs, startedBeforeFirstEpoch);
    }

    @Override
    public synchronized long unreachableMs(final String guard) {
        return heartbeatTimes.unreachableMs(guard, clock.nowMs());
    }

    /**
     * Selects the guards of a key from a roster.
     *
     * @param roster the roster, not null.
     * @param key the key to guard, not null.
     * @return the names of {@value #GUARDS_PER_KEY} guards, or of all guards of a smaller roster.
     */
    public static List<String> guardsOf(final Roster roster, final ClaimKey key) {
        return RendezvousHash.topRanked(key, roster.guards(), GUARDS_PER_KEY);
    }

    /**
     * Returns how many members of a set form a majority.
     *
     * @param size the size of the set, not negative.
     * @return the smallest number that is more than half of the size.
     */
    static int majorityOf(final int size) {
        return size / 2 + 1;
    }

    private void updateMajorityAdoption(final long nowMs) {
        if (epoch() > 0 && hasReachableMajority(nowMs)) {
            epochHistory.recordMajorityAdoption(nowMs);
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
