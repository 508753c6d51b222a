package org.sequoiashunt.execution;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.execution.ClaimAttempt.Addressed;
import org.sequoiashunt.execution.ClaimAttempt.State;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.time.Clock;

/**
 * Claims idempotency keys for an entry: sends requests to the guards of a key's home groups and decides from their
 * replies whether a call may be dispatched.
 *
 * <p>Use: call {@link #claim}; if it completes empty, call {@link #beginDispatch} directly before sending the call and
 * {@link #record} once the call has ended, whatever its result. Call {@link #tick} several times a second.
 *
 * <p>Thread-safe: attempts are stored in shards with one lock each, and each attempt has a separate lock; no lock is
 * held while a message is sent or a future completes. Invariant: an attempt whose caller received {@code not-run} is
 * never dispatched afterwards.
 */
public final class ClaimCoordinator implements ClaimService, Controller {

    /** Interval between requests to a guard that has not replied. */
    private static final long REQUEST_RETRY_INTERVAL_MS = 250;

    /** Longest wait for the replies of guards. */
    private static final long REQUEST_TIMEOUT_MS = 2_000;

    private final Blackboard blackboard;
    private final HomeGroupResolver homeGroups;
    private final Clock clock;
    private final ClaimTiming timing;
    private final Set<ClaimRule> rules;
    private final ControlMessenger messenger;
    private final EntryPauseDetector pauseDetector;
    private final PendingAttempts attempts = new PendingAttempts();

    /**
     * Creates a coordinator without attempts.
     *
     * @param blackboard the blackboard that replicates rosters, not null.
     * @param homeGroups resolves the home groups of a key, not null.
     * @param clock the local clock, not null.
     * @param timing the time limits of claims, not null.
     * @param rules the rules in force, not null.
     * @param messenger sends control messages to nodes by name, not null.
     */
    public ClaimCoordinator(
            final Blackboard blackboard,
            final HomeGroupResolver homeGroups,
            final Clock clock,
            final ClaimTiming timing,
            final Set<ClaimRule> rules,
            final ControlMessenger messenger) {
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.homeGroups = Objects.requireNonNull(homeGroups, "homeGroups");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timing = Objects.requireNonNull(timing, "timing");
        this.rules = Set.copyOf(rules);
        this.messenger = Objects.requireNonNull(messenger, "messenger");
        this.pauseDetector = new EntryPauseDetector(clock, timing.pauseMs());
    }

    @Override
    public CompletableFuture<Optional<CallResult>> claim(
            final String service, final String key, final String attemptId, final long deadlineMs) {
        long nowMs = clock.nowMs();
        List<Optional<Roster>> rosters =
                homeGroups.resolve(service, key).stream().map(this::roster).toList();
        boolean paused = rules.contains(ClaimRule.ENTRY_PAUSE) && pauseDetector.wasRecentlyPaused();
        if (paused || rosters.isEmpty() || rosters.stream().anyMatch(Optional::isEmpty) || deadlineMs <= nowMs) {
            return CompletableFuture.completedFuture(Optional.of(CallResult.unknown(Reason.CLAIM_UNAVAILABLE)));
        }
        ClaimAttempt claimAttempt = new ClaimAttempt(
                ClaimKey.of(service, key),
                attemptId,
                deadlineMs,
                Math.min(deadlineMs, nowMs + timing.attemptMs()),
                rules);
        rosters.forEach(roster -> claimAttempt.useRoster(roster.orElseThrow()));
        attempts.add(new PendingAttempt(claimAttempt, nowMs));
        send(claimAttempt.pendingRequests(nowMs));
        return claimAttempt.decision();
    }

    @Override
    public boolean beginDispatch(final String service, final String key, final String attemptId) {
        PendingAttempt pending = attempts.find(attemptId).orElse(null);
        if (pending == null) {
            return false;
        }
        if (isBeforeLatestDispatch(pending.attempt()) && pending.attempt().beginDispatch()) {
            return true;
        }
        if (pending.attempt().transition(State.GRANTED, State.ABANDONED)) {
            release(pending);
        }
        return false;
    }

    @Override
    public void record(final String service, final String key, final String attemptId, final CallResult result) {
        PendingAttempt pending = attempts.find(attemptId).orElse(null);
        if (pending == null) {
            return;
        }
        if (result.outcome() == Outcome.NOT_RUN) {
            pending.attempt().transition(State.GRANTED, State.ABANDONED);
            pending.attempt().transition(State.DISPATCHED, State.ABANDONED);
            release(pending);
            return;
        }
        attempts.remove(attemptId);
        if (result.outcome() == Outcome.COMPLETE) {
            pending.attempt()
                    .contactedGuards()
                    .forEach(guard -> messenger.send(
                            guard.node(),
                            new ClaimOutcome(guard.content(), pending.attempt().key(), attemptId, result)));
        }
    }

    @Override
    public void tick() {
        pauseDetector.tick();
        homeGroups.refresh();
        long nowMs = clock.nowMs();
        attempts.all().forEach(pending -> tick(pending, nowMs));
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        if (message instanceof RosterNotice notice) {
            ClaimGuard.publish(blackboard, notice.roster());
            return false;
        }
        if (!(message instanceof ClaimReply reply)) {
            return false;
        }
        attempts.find(reply.attempt())
                .filter(pending -> pending.attempt().isAsking())
                .ifPresent(pending -> handleReply(pending, sender, reply));
        return true;
    }

    private void handleReply(final PendingAttempt pending, final String guard, final ClaimReply reply) {
        pending.attempt().recordReply(guard, reply);
        Optional<Roster> roster = roster(reply.group());
        if (reply.verdict() == ClaimVerdict.EPOCH_DIFFERS && roster.isPresent()) {
            if (reply.epoch() < roster.get().epoch()) {
                messenger.send(guard, new RosterNotice(roster.get()));
            } else if (pending.attempt().useRoster(roster.get())) {
                send(pending.attempt().pendingRequests(clock.nowMs()));
            }
        }
        decide(pending);
    }

    private void decide(final PendingAttempt pending) {
        ClaimAttempt attempt = pending.attempt();
        if (attempt.isGranted()) {
            if (isBeforeLatestDispatch(attempt) && attempt.transition(State.ASKING, State.GRANTED)) {
                attempt.decision().complete(Optional.empty());
            } else {
                abandon(pending);
            }
        } else if (attempt.isRefused()) {
            abandon(pending);
        }
    }

    private void abandon(final PendingAttempt pending) {
        if (pending.attempt().transition(State.ASKING, State.ABANDONED)) {
            CallResult refusal = pending.attempt().refusal();
            release(pending);
            pending.attempt().decision().complete(Optional.of(refusal));
        }
    }

    private void tick(final PendingAttempt pending, final long nowMs) {
        ClaimAttempt attempt = pending.attempt();
        if (attempt.isAsking()) {
            retryOrAbandon(pending, nowMs);
        } else if (!isBeforeLatestDispatch(attempt) && attempt.transition(State.GRANTED, State.ABANDONED)) {
            release(pending);
        } else if (pending.takeRelease()) {
            sendRelease(attempt);
        } else if (pending.isReleasing()
                || attempt.isDispatched() && nowMs > attempt.deadlineMs() + timing.attemptMs()) {
            attempts.remove(attempt.attemptId());
        }
    }

    private void retryOrAbandon(final PendingAttempt pending, final long nowMs) {
        ClaimAttempt attempt = pending.attempt();
        boolean timedOut = nowMs - pending.startMs() > REQUEST_TIMEOUT_MS && rules.contains(ClaimRule.ATTEMPT_DEADLINE);
        if (timedOut || !isBeforeLatestDispatch(attempt)) {
            abandon(pending);
        } else if (nowMs - pending.lastRequestMs() >= REQUEST_RETRY_INTERVAL_MS) {
            pending.recordRequest(nowMs);
            pending.attempt().contactedGuards().stream()
                    .map(Addressed::content)
                    .distinct()
                    .forEach(group -> roster(group).ifPresent(roster -> attempt.useRoster(roster)));
            send(attempt.pendingRequests(nowMs));
        }
    }

    private boolean isBeforeLatestDispatch(final ClaimAttempt attempt) {
        return !rules.contains(ClaimRule.ATTEMPT_DEADLINE) || clock.nowMs() <= attempt.latestDispatchMs();
    }

    private void release(final PendingAttempt pending) {
        pending.startReleasing();
        if (pending.takeRelease()) {
            sendRelease(pending.attempt());
        }
    }

    private void sendRelease(final ClaimAttempt attempt) {
        attempt.contactedGuards()
                .forEach(guard -> messenger.send(
                        guard.node(), new ClaimRelease(guard.content(), attempt.key(), attempt.attemptId())));
    }

    private void send(final List<Addressed<ClaimRequest>> requests) {
        requests.forEach(request -> messenger.send(request.node(), request.content()));
    }

    private Optional<Roster> roster(final String group) {
        return blackboard.value(Section.ROSTER, group, Roster.class);
    }
}
