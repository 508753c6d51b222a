package org.sequoiashunt.execution;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiashunt.call.CallResult;

/**
 * Counts the replies of one home group's guards to one attempt.
 *
 * <p>Not thread-safe: guarded by the monitor of {@link ClaimAttempt}. Invariant: only grants of guards chosen from the
 * current roster count, each once.
 */
final class GroupQuorum {

    /** Every guard contacted, also under former rosters. */
    final Set<String> contacted = new LinkedHashSet<>();

    /** Epoch of the current roster. */
    long epoch;

    private List<String> guards = List.of();
    private final Map<String, ClaimReply> replies = new HashMap<>();

    /**
     * Replaces the roster by a newer one and discards all replies; ignores a roster that is not newer.
     *
     * @param roster the roster, not null.
     * @param key the key that is claimed, not null.
     * @return true if the roster is the first one or newer than the current one.
     */
    boolean restart(final Roster roster, final ClaimKey key) {
        if (!guards.isEmpty() && roster.epoch() <= epoch) {
            return false;
        }
        epoch = roster.epoch();
        guards = GuardState.guardsOf(roster, key);
        contacted.addAll(guards);
        replies.clear();
        return true;
    }

    /**
     * Records a reply if it counts: a reply that another attempt holds the key always does, any other only if its guard
     * was chosen from the current roster.
     *
     * @param guard the name of the guard that replied, not null.
     * @param reply the reply, not null.
     * @param requiresSameEpoch whether such other replies must also carry the epoch of the current roster.
     */
    void recordReply(final String guard, final ClaimReply reply, final boolean requiresSameEpoch) {
        boolean sameEpoch = reply.epoch() == epoch || !requiresSameEpoch;
        if (guards.contains(guard) && sameEpoch || reply.verdict().isHeld()) {
            replies.put(guard, reply);
        }
    }

    /**
     * Lists the guards whose reply is missing.
     *
     * @return the names of the guards, empty if all have replied.
     */
    List<String> pendingGuards() {
        return guards.stream().filter(guard -> !replies.containsKey(guard)).toList();
    }

    /**
     * Returns whether enough guards have granted the key.
     *
     * @param requiresMajority true if a majority of the guards is needed, false if one grant is enough.
     * @return true if the group has granted the key.
     */
    boolean isGranted(final boolean requiresMajority) {
        return grantCount() >= requiredGrants(requiresMajority);
    }

    /**
     * Returns whether enough guards have granted the key or may still do so.
     *
     * @param requiresMajority true if a majority of the guards is needed, false if one grant is enough.
     * @return true if the group has granted the key or may still grant it.
     */
    boolean canBeGranted(final boolean requiresMajority) {
        return grantCount() + pendingGuards().size() >= requiredGrants(requiresMajority);
    }

    /**
     * Returns whether a recorded reply has a verdict.
     *
     * @param verdict the verdict to look for, not null.
     * @return true if at least one reply has the verdict.
     */
    boolean hasVerdict(final ClaimVerdict verdict) {
        return replies.values().stream().anyMatch(reply -> reply.verdict() == verdict);
    }

    /**
     * Lists the recorded answers of the attempt that holds the key, one for each reply that contains it.
     *
     * @return the answers, empty if no reply contains one.
     */
    List<CallResult> recordedAnswers() {
        return replies.values().stream()
                .flatMap(reply -> reply.result().stream())
                .toList();
    }

    private long grantCount() {
        return guards.stream()
                .map(replies::get)
                .filter(reply -> reply != null && reply.verdict() == ClaimVerdict.GRANTED)
                .count();
    }

    private int requiredGrants(final boolean requiresMajority) {
        return guards.isEmpty() || requiresMajority ? guards.size() / 2 + 1 : 1;
    }
}
