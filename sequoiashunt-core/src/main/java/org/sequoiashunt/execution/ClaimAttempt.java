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
 * Tracks one attempt of an entry to claim a key: the guards contacted, their replies, and whether the call may be
 * dispatched.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: the state changes from {@link State#ASKING} to
 * {@link State#GRANTED} to {@link State#DISPATCHED}; each of them may change to {@link State#ABANDONED}, which is
 * final: an abandoned attempt is never dispatched.
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
     * Creates an attempt that has contacted no guard yet.
     *
     * @param key the key to claim, not null.
     * @param attemptId identity of the attempt, unique over all nodes, not null.
     * @param deadlineMs when the call ends, in milliseconds of the local clock.
     * @param latestDispatchMs the latest time of dispatch, in milliseconds of the local clock.
     * @param rules the rules in force, not null.
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
     * Starts or restarts the quorum of a group with the guards of a roster. Guards contacted under former rosters stay
     * on the list of {@link #contactedGuards()}, since they must receive a release too.
     *
     * @param roster the roster, not null.
     * @return true if the group had no roster before or this one is newer.
     */
    synchronized boolean useRoster(final Roster roster) {
        return quorums.computeIfAbsent(roster.group(), group -> new GroupQuorum())
                .restart(roster, key);
    }

    /**
     * Creates a request for each guard whose reply is missing.
     *
     * @param nowMs the current time, in milliseconds of the local clock.
     * @return the requests with their guards; empty if the attempt is decided.
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
     * Records a guard's reply. Ignores it if the attempt is decided or the reply is for another key or group.
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
     * Returns whether a majority of the key's guards has granted the key in every home group.
     *
     * @return true if every group has granted the key; false if no group was contacted.
     */
    synchronized boolean isGranted() {
        return !quorums.isEmpty() && quorums.values().stream().allMatch(vote -> vote.isGranted(requiresMajority));
    }

    /**
     * Returns whether in at least one home group the remaining replies cannot complete a majority.
     *
     * @return true if the key cannot be granted, also if no group was contacted.
     */
    synchronized boolean isRefused() {
        return quorums.isEmpty() || quorums.values().stream().anyMatch(vote -> !vote.canBeGranted(requiresMajority));
    }

    /**
     * Changes the state if the attempt is in an expected state.
     *
     * @param from the expected state, not null.
     * @param to the new state, not null.
     * @return true if the state was {@code from} and has changed.
     */
    synchronized boolean transition(final State from, final State to) {
        if (state != from) {
            return false;
        }
        state = to;
        return true;
    }

    /**
     * Marks a granted attempt as dispatched. An attempt that is dispatched already may be dispatched again if its
     * earlier dispatch ended {@code NOT_RUN}.
     *
     * @return true if the attempt may be dispatched.
     */
    synchronized boolean beginDispatch() {
        return transition(State.GRANTED, State.DISPATCHED) || state == State.DISPATCHED;
    }

    /**
     * Returns the result for the caller of an attempt that is not dispatched: the recorded answer of the attempt that
     * holds the key, or else an unknown outcome with the reason.
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
     * Lists every guard contacted, also under former rosters.
     *
     * @return the guards, each with the name of its home group.
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
        /** Waits for replies of guards. */
        ASKING,
        /** May be dispatched until the latest time of dispatch. */
        GRANTED,
        /** The call was sent, or is about to be. */
        DISPATCHED,
        /** Will never be dispatched. */
        ABANDONED
    }

    /**
     * Value that concerns one node, such as a message to send to it. Immutable.
     *
     * @param <T> the type of the content.
     * @param node the name of the node.
     * @param content the content.
     */
    record Addressed<T>(String node, T content) {}
}
