package org.sequoiashunt.execution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;

/**
 * One attempt of an entry to claim a key: whom it asked, what they said, and whether it may be dispatched.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: it goes from asking to granted to dispatched, or ends
 * abandoned, and never leaves either end; an abandoned attempt is never dispatched.
 */
final class ClaimAttempt {

    private final ClaimKey key;
    private final String attemptId;
    private final long deadlineMs;
    private final long latestDispatchMs;
    private final boolean requiresMajority;
    private final boolean requiresSameEpoch;
    private final CompletableFuture<Optional<CallResult>> decision = new CompletableFuture<>();
    private final Map<String, GroupQuorum> quorums = new LinkedHashMap<>();
    private State state = State.ASKING;

    /**
     * Creates an attempt that has asked nobody yet.
     *
     * @param key the key, not null.
     * @param attemptId the identity of the attempt, not null.
     * @param deadlineMs when the call ends, by the local clock.
     * @param latestDispatchMs when the call must have been dispatched, by the local clock.
     * @param rules the rules that are on, not null.
     */
    ClaimAttempt(
            final ClaimKey key,
            final String attemptId,
            final long deadlineMs,
            final long latestDispatchMs,
            final Set<ClaimRule> rules) {
        this.key = key;
        this.attemptId = attemptId;
        this.deadlineMs = deadlineMs;
        this.latestDispatchMs = latestDispatchMs;
        this.requiresMajority = rules.contains(ClaimRule.MAJORITY);
        this.requiresSameEpoch = rules.contains(ClaimRule.EPOCH_CHECK);
    }

    ClaimKey key() {
        return key;
    }

    String attemptId() {
        return attemptId;
    }

    long deadlineMs() {
        return deadlineMs;
    }

    long latestDispatchMs() {
        return latestDispatchMs;
    }

    CompletableFuture<Optional<CallResult>> decision() {
        return decision;
    }

    /**
     * Starts or restarts the vote of a group under a roster. Guards asked before stay known for release.
     *
     * @param roster the roster, not null.
     * @return true if the roster is newer than the one asked before.
     */
    synchronized boolean useRoster(final Roster roster) {
        return quorums.computeIfAbsent(roster.group(), group -> new GroupQuorum())
                .restart(roster, key);
    }

    /**
     * Lists the guards that have not said anything final.
     *
     * @return the requests to send, by guard; empty if the attempt is decided.
     */
    synchronized List<Addressed<ClaimRequest>> pendingRequests(final long nowMs) {
        List<Addressed<ClaimRequest>> requests = new ArrayList<>();
        if (state == State.ASKING) {
            quorums.forEach((group, vote) -> vote.pendingGuards()
                    .forEach(guard -> requests.add(new Addressed<>(
                            guard, new ClaimRequest(group, vote.epoch, key, attemptId, deadlineMs - nowMs)))));
        }
        return requests;
    }

    /**
     * Notes a guard's reply.
     *
     * @param guard the guard that replied, not null.
     * @param reply the reply, not null.
     */
    synchronized void recordReply(final String guard, final ClaimReply reply) {
        GroupQuorum quorum = quorums.get(reply.group());
        if (quorum != null && state == State.ASKING && reply.key().equals(key)) {
            quorum.recordReply(guard, reply, requiresSameEpoch);
        }
    }

    synchronized boolean isAsking() {
        return state == State.ASKING;
    }

    synchronized boolean isDispatched() {
        return state == State.DISPATCHED;
    }

    /**
     * Tells whether every group's majority has granted the key.
     *
     * @return true if so.
     */
    synchronized boolean isGranted() {
        return !quorums.isEmpty() && quorums.values().stream().allMatch(vote -> vote.isGranted(requiresMajority));
    }

    /**
     * Tells whether some group's majority cannot be had any more.
     *
     * @return true if so.
     */
    synchronized boolean isRefused() {
        return quorums.isEmpty() || quorums.values().stream().anyMatch(vote -> !vote.canBeGranted(requiresMajority));
    }

    /**
     * Moves from one state to another.
     *
     * @return true if the attempt was in the first state.
     */
    synchronized boolean transition(final State from, final State to) {
        if (state != from) {
            return false;
        }
        state = to;
        return true;
    }

    /**
     * Dispatches a granted attempt, or once more one whose earlier dispatch ended not run.
     *
     * @return true if the attempt may be dispatched.
     */
    synchronized boolean beginDispatch() {
        return transition(State.GRANTED, State.DISPATCHED) || state == State.DISPATCHED;
    }

    /**
     * Returns what to tell the caller of an attempt that is not dispatched. It is {@code not-run} only if no guard
     * named another attempt that holds the key.
     *
     * @return the result, never null.
     */
    synchronized CallResult refusal() {
        Optional<CallResult> answer = quorums.values().stream()
                .flatMap(vote -> vote.recordedAnswers().stream())
                .findFirst();
        if (answer.isPresent()) {
            return answer.get();
        }
        if (hasVerdict(ClaimVerdict.HELD_RUNNING)) {
            return CallResult.unknown(Reason.IN_PROGRESS);
        }
        return CallResult.unknown(
                hasVerdict(ClaimVerdict.HELD_UNKNOWN) ? Reason.ALREADY_CLAIMED : Reason.CLAIM_UNAVAILABLE);
    }

    /**
     * Lists every guard that was ever asked.
     *
     * @return group and guard of each.
     */
    synchronized List<Addressed<String>> contactedGuards() {
        List<Addressed<String>> contacted = new ArrayList<>();
        quorums.forEach((group, vote) -> vote.contacted.forEach(guard -> contacted.add(new Addressed<>(guard, group))));
        return contacted;
    }

    private boolean hasVerdict(final ClaimVerdict verdict) {
        return quorums.values().stream().anyMatch(vote -> vote.hasVerdict(verdict));
    }

    /** State of an attempt. Immutable and thread-safe. */
    enum State {
        /** Waits for guards. */
        ASKING,
        /** May be dispatched until its latest time. */
        GRANTED,
        /** Was dispatched. */
        DISPATCHED,
        /** Will never be dispatched. */
        ABANDONED
    }

    /**
     * Something for one node. Immutable.
     *
     * @param <T> the type of the content.
     * @param node the name of the node.
     * @param content the content.
     */
    record Addressed<T>(String node, T content) {}
}
