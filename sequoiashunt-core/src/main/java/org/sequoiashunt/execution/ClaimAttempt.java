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
    private final String attempt;
    private final long deadlineMs;
    private final long latestDispatchMs;
    private final boolean needsMajority;
    private final boolean checksEpoch;
    private final CompletableFuture<Optional<CallResult>> decision = new CompletableFuture<>();
    private final Map<String, GroupQuorum> votes = new LinkedHashMap<>();
    private State state = State.ASKING;

    /**
     * Creates an attempt that has asked nobody yet.
     *
     * @param key the key, not null.
     * @param attempt the identity of the attempt, not null.
     * @param deadlineMs when the call ends, by the local clock.
     * @param latestDispatchMs when the call must have been dispatched, by the local clock.
     * @param rules the rules that are on, not null.
     */
    ClaimAttempt(
            final ClaimKey key,
            final String attempt,
            final long deadlineMs,
            final long latestDispatchMs,
            final Set<ClaimRule> rules) {
        this.key = key;
        this.attempt = attempt;
        this.deadlineMs = deadlineMs;
        this.latestDispatchMs = latestDispatchMs;
        this.needsMajority = rules.contains(ClaimRule.MAJORITY);
        this.checksEpoch = rules.contains(ClaimRule.EPOCH_CHECK);
    }

    ClaimKey key() {
        return key;
    }

    String attempt() {
        return attempt;
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
    synchronized boolean ask(final Roster roster) {
        return votes.computeIfAbsent(roster.group(), group -> new GroupQuorum()).restart(roster, key);
    }

    /**
     * Lists the guards that have not said anything final.
     *
     * @return the requests to send, by guard; empty if the attempt is decided.
     */
    synchronized List<Addressed<ClaimRequest>> openRequests(final long nowMs) {
        List<Addressed<ClaimRequest>> requests = new ArrayList<>();
        if (state == State.ASKING) {
            votes.forEach((group, vote) -> vote.open()
                    .forEach(guard -> requests.add(new Addressed<>(
                            guard, new ClaimRequest(group, vote.epoch, key, attempt, deadlineMs - nowMs)))));
        }
        return requests;
    }

    /**
     * Notes a guard's reply.
     *
     * @param guard the guard that replied, not null.
     * @param reply the reply, not null.
     */
    synchronized void note(final String guard, final ClaimReply reply) {
        GroupQuorum vote = votes.get(reply.group());
        if (vote != null && state == State.ASKING && reply.key().equals(key)) {
            vote.note(guard, reply, checksEpoch);
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
        return !votes.isEmpty() && votes.values().stream().allMatch(vote -> vote.isGranted(needsMajority));
    }

    /**
     * Tells whether some group's majority cannot be had any more.
     *
     * @return true if so.
     */
    synchronized boolean isRefused() {
        return votes.isEmpty() || votes.values().stream().anyMatch(vote -> !vote.isPossible(needsMajority));
    }

    /**
     * Moves from one state to another.
     *
     * @return true if the attempt was in the first state.
     */
    synchronized boolean move(final State from, final State to) {
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
        return move(State.GRANTED, State.DISPATCHED) || state == State.DISPATCHED;
    }

    /**
     * Returns what to tell the caller of an attempt that is not dispatched. It is {@code not-run} only if no guard
     * named another attempt that holds the key.
     *
     * @return the result, never null.
     */
    synchronized CallResult refusal() {
        Optional<CallResult> answer =
                votes.values().stream().flatMap(vote -> vote.answers().stream()).findFirst();
        if (answer.isPresent()) {
            return answer.get();
        }
        if (heard(ClaimVerdict.HELD_RUNNING)) {
            return CallResult.unknown(Reason.IN_PROGRESS);
        }
        return CallResult.unknown(heard(ClaimVerdict.HELD_UNKNOWN) ? Reason.ALREADY_CLAIMED : Reason.CLAIM_UNAVAILABLE);
    }

    /**
     * Lists every guard that was ever asked.
     *
     * @return group and guard of each.
     */
    synchronized List<Addressed<String>> asked() {
        List<Addressed<String>> all = new ArrayList<>();
        votes.forEach((group, vote) -> vote.asked.forEach(guard -> all.add(new Addressed<>(guard, group))));
        return all;
    }

    private boolean heard(final ClaimVerdict verdict) {
        return votes.values().stream().anyMatch(vote -> vote.heard(verdict));
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
