package org.sequoiashunt.execution;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiashunt.call.CallResult;

/**
 * Replies of one home group's guards to one attempt. Not thread-safe: guarded by the attempt.
 *
 * <p>Invariant: only replies of the guards chosen by the current roster count, each once.
 */
final class GroupQuorum {

    /** Every guard ever asked, also under former rosters. */
    final Set<String> contacted = new LinkedHashSet<>();

    /** Epoch of the roster in use. */
    long epoch;

    private List<String> guards = List.of();
    private final Map<String, ClaimReply> replies = new HashMap<>();

    /**
     * Starts over with another roster.
     *
     * @param roster the roster, not null.
     * @param key the key, not null.
     * @return true if the roster is newer than the one in use.
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
     * Notes a reply.
     *
     * @param guard who replied, not null.
     * @param reply the reply, not null.
     * @param requiresSameEpoch whether a grant counts only at the epoch of the roster in use.
     */
    void recordReply(final String guard, final ClaimReply reply, final boolean requiresSameEpoch) {
        boolean sameEpoch = reply.epoch() == epoch || !requiresSameEpoch;
        if (guards.contains(guard) && sameEpoch || reply.verdict().isHeld()) {
            replies.put(guard, reply);
        }
    }

    /**
     * Lists the guards that have not replied.
     *
     * @return the names.
     */
    List<String> pendingGuards() {
        return guards.stream().filter(guard -> !replies.containsKey(guard)).toList();
    }

    /**
     * Tells whether enough guards granted the key.
     *
     * @param requiresMajority whether one grant is not enough.
     * @return true if so.
     */
    boolean isGranted(final boolean requiresMajority) {
        return grantCount() >= requiredGrants(requiresMajority);
    }

    /**
     * Tells whether enough guards have granted the key or may still do so.
     *
     * @param requiresMajority whether one grant is not enough.
     * @return true if so.
     */
    boolean canBeGranted(final boolean requiresMajority) {
        return grantCount() + pendingGuards().size() >= requiredGrants(requiresMajority);
    }

    /**
     * Tells whether a guard said something.
     *
     * @param verdict what it said, not null.
     * @return true if so.
     */
    boolean hasVerdict(final ClaimVerdict verdict) {
        return replies.values().stream().anyMatch(reply -> reply.verdict() == verdict);
    }

    /**
     * Lists the answers of the attempt that holds the key.
     *
     * @return the answers.
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
