package org.sequoiashunt.execution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records for each guard of a roster when the last heartbeat that it answered was sent. Answers at the current epoch
 * are recorded separately from answers at any epoch: the former count towards the majority, the latter show whether the
 * guard is reachable.
 *
 * <p>Not thread-safe: guarded by the lock of {@link GuardState}.
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
     * @param fenceMs how long after the heartbeat was sent its answer counts, in milliseconds.
     */
    GuardHeartbeatTimes(final String node, final long fenceMs) {
        this.node = node;
        this.fenceMs = fenceMs;
    }

    /**
     * Restarts the record for a new roster. A guard that the last roster did not list counts as reachable now.
     *
     * @param guards the guards of the roster, not null.
     * @param nowMs the current time, in milliseconds of the local clock.
     */
    void restart(final List<String> guards, final long nowMs) {
        sentMsAtCurrentEpoch.clear();
        sentMsAtAnyEpoch.keySet().retainAll(guards);
        guards.forEach(guard -> sentMsAtAnyEpoch.putIfAbsent(guard, nowMs));
    }

    /**
     * Records that this node sends heartbeats. If it has sent none for longer than the fence time, every guard counts
     * as reachable now, since the guards had no heartbeat to answer.
     *
     * @param nowMs the current time, in milliseconds of the local clock.
     */
    void recordSent(final long nowMs) {
        if (nowMs - lastSentMs > fenceMs) {
            sentMsAtAnyEpoch.replaceAll((guard, answered) -> nowMs);
        }
        lastSentMs = nowMs;
    }

    /**
     * Records an answer to a heartbeat.
     *
     * @param guard the name of the guard that answered, not null.
     * @param sentMs when the heartbeat was sent, in milliseconds of this node's clock.
     * @param sameEpoch whether the guard answered with the current epoch.
     */
    void recordAnswer(final String guard, final long sentMs, final boolean sameEpoch) {
        sentMsAtAnyEpoch.merge(guard, sentMs, Math::max);
        if (sameEpoch) {
            sentMsAtCurrentEpoch.merge(guard, sentMs, Math::max);
        }
    }

    /**
     * Counts the other guards that answered, at the current epoch, a heartbeat sent within the fence time.
     *
     * @param guards the guards of the roster, not null.
     * @param nowMs the current time, in milliseconds of the local clock.
     * @return the number of guards, without this node.
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
     * Returns how long a guard has been unreachable.
     *
     * @param guard the name of the guard, not null.
     * @param nowMs the current time, in milliseconds of the local clock.
     * @return milliseconds since the last heartbeat that the guard answered was sent; zero for this node and for nodes
     *     that the roster does not list.
     */
    long unreachableMs(final String guard, final long nowMs) {
        return guard.equals(node) ? 0 : nowMs - sentMsAtAnyEpoch.getOrDefault(guard, nowMs);
    }
}
