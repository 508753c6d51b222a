package org.sequoiashunt.execution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When the heartbeats that other guards answered were sent, at the epoch in use and at any epoch.
 *
 * <p>Not thread-safe: guarded by the standing.
 */
final class GuardHeartbeatTimes {

    private final String node;
    private final long fenceMs;
    private final Map<String, Long> sentMsAtCurrentEpoch = new HashMap<>();
    private final Map<String, Long> sentMsAtAnyEpoch = new HashMap<>();
    private long lastSentMs;

    /**
     * Creates an empty record.
     *
     * @param node the name of this node, not null.
     * @param fenceMs how long an answer counts, in milliseconds.
     */
    GuardHeartbeatTimes(final String node, final long fenceMs) {
        this.node = node;
        this.fenceMs = fenceMs;
    }

    /**
     * Starts anew for a roster; a guard that was not in the last one counts as heard now.
     *
     * @param guards the guards of the roster, not null.
     * @param nowMs the time.
     */
    void restart(final List<String> guards, final long nowMs) {
        sentMsAtCurrentEpoch.clear();
        sentMsAtAnyEpoch.keySet().retainAll(guards);
        guards.forEach(guard -> sentMsAtAnyEpoch.putIfAbsent(guard, nowMs));
    }

    /**
     * Notes that the guards are asked. After a gap of this node's own, silence is counted anew.
     *
     * @param nowMs the time.
     */
    void recordSent(final long nowMs) {
        if (nowMs - lastSentMs > fenceMs) {
            sentMsAtAnyEpoch.replaceAll((guard, answered) -> nowMs);
        }
        lastSentMs = nowMs;
    }

    /**
     * Notes an answer.
     *
     * @param guard who answered, not null.
     * @param sentMs when the heartbeat was sent.
     * @param sameEpoch whether the guard is at the epoch in use.
     */
    void recordAnswer(final String guard, final long sentMs, final boolean sameEpoch) {
        sentMsAtAnyEpoch.merge(guard, sentMs, Math::max);
        if (sameEpoch) {
            sentMsAtCurrentEpoch.merge(guard, sentMs, Math::max);
        }
    }

    /**
     * Counts the other guards that answered at the epoch in use within the fence time.
     *
     * @param guards the guards of the roster, not null.
     * @param nowMs the time.
     * @return the number, without this node.
     */
    int countAnswering(final List<String> guards, final long nowMs) {
        int count = 0;
        for (String guard : guards) {
            Long sentMs = sentMsAtCurrentEpoch.get(guard);
            if (!guard.equals(node) && sentMs != null && nowMs - sentMs <= fenceMs) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns how long a guard has been silent.
     *
     * @param guard the guard, not null.
     * @param nowMs the time.
     * @return milliseconds, zero for this node and for unknown ones.
     */
    long unreachableMs(final String guard, final long nowMs) {
        return guard.equals(node) ? 0 : nowMs - sentMsAtAnyEpoch.getOrDefault(guard, nowMs);
    }
}
