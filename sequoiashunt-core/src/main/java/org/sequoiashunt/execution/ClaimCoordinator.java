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
 * Entry's side of claims: asks the guards of a key's home group and decides whether a call may be dispatched.
 *
 * <p>Use: {@link #claim}, and if it completes empty, {@link #beginDispatch} directly before sending the call; then
 * {@link #record} once the call has ended, whatever its result. {@link #tick} must be called several times a second.
 *
 * <p>Thread-safe: attempts lie in shards, each under its own lock, and each attempt has a lock of its own; no lock is
 * held while a message is sent or a future completes. Invariant: an attempt whose caller was told {@code not-run} is
 * never dispatched.
 */
public final class ClaimCoordinator implements ClaimService, Controller {

    /** Time between requests to a guard that has not replied. */
    private static final long REPEAT_MS = 250;

    /** Longest wait for guards. */
    private static final long ASK_TIMEOUT_MS = 2_000;

    private final Blackboard blackboard;
    private final HomeGroupResolver homes;
    private final Clock clock;
    private final ClaimTiming timing;
    private final Set<ClaimRule> rules;
    private final ControlMessenger messenger;
    private final EntryPauseDetector pause;
    private final PendingAttempts attempts = new PendingAttempts();

    /**
     * Creates a coordinator without attempts.
     *
     * @param blackboard where rosters replicate, not null.
     * @param homes finds home groups, not null.
     * @param clock the time, not null.
     * @param timing the times, not null.
     * @param rules the rules that are on, not null.
     * @param messenger sends messages, not null.
     */
    public ClaimCoordinator(
            final Blackboard blackboard,
            final HomeGroupResolver homes,
            final Clock clock,
            final ClaimTiming timing,
            final Set<ClaimRule> rules,
            final ControlMessenger messenger) {
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.homes = Objects.requireNonNull(homes, "homes");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timing = Objects.requireNonNull(timing, "timing");
        this.rules = Set.copyOf(rules);
        this.messenger = Objects.requireNonNull(messenger, "messenger");
        this.pause = new EntryPauseDetector(clock, timing.pauseMs());
    }

    @Override
    public CompletableFuture<Optional<CallResult>> claim(
            final String service, final String key, final String attempt, final long deadlineMs) {
        long nowMs = clock.nowMs();
        List<Optional<Roster>> rosters =
                homes.find(service, key).stream().map(this::roster).toList();
        boolean paused = rules.contains(ClaimRule.ENTRY_PAUSE) && pause.isRecent();
        if (paused || rosters.isEmpty() || rosters.stream().anyMatch(Optional::isEmpty) || deadlineMs <= nowMs) {
            return CompletableFuture.completedFuture(Optional.of(CallResult.unknown(Reason.CLAIM_UNAVAILABLE)));
        }
        ClaimAttempt claim = new ClaimAttempt(
                ClaimKey.of(service, key),
                attempt,
                deadlineMs,
                Math.min(deadlineMs, nowMs + timing.attemptMs()),
                rules);
        rosters.forEach(roster -> claim.ask(roster.orElseThrow()));
        attempts.add(new PendingAttempt(claim, nowMs));
        send(claim.openRequests(nowMs));
        return claim.decision();
    }

    @Override
    public boolean beginDispatch(final String service, final String key, final String attempt) {
        PendingAttempt pending = attempts.find(attempt).orElse(null);
        if (pending == null) {
            return false;
        }
        if (isInTime(pending.claim()) && pending.claim().beginDispatch()) {
            return true;
        }
        if (pending.claim().move(State.GRANTED, State.ABANDONED)) {
            release(pending);
        }
        return false;
    }

    @Override
    public void record(final String service, final String key, final String attempt, final CallResult result) {
        PendingAttempt pending = attempts.find(attempt).orElse(null);
        if (pending == null) {
            return;
        }
        if (result.outcome() == Outcome.NOT_RUN) {
            pending.claim().move(State.GRANTED, State.ABANDONED);
            pending.claim().move(State.DISPATCHED, State.ABANDONED);
            release(pending);
            return;
        }
        attempts.remove(attempt);
        if (result.outcome() == Outcome.COMPLETE) {
            pending.claim()
                    .asked()
                    .forEach(to -> messenger.send(
                            to.node(),
                            new ClaimOutcome(to.content(), pending.claim().key(), attempt, result)));
        }
    }

    @Override
    public void tick() {
        pause.tick();
        homes.refresh();
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
                .filter(pending -> pending.claim().isAsking())
                .ifPresent(pending -> noteReply(pending, sender, reply));
        return true;
    }

    private void noteReply(final PendingAttempt pending, final String guard, final ClaimReply reply) {
        pending.claim().note(guard, reply);
        Optional<Roster> roster = roster(reply.group());
        if (reply.verdict() == ClaimVerdict.EPOCH_DIFFERS && roster.isPresent()) {
            if (reply.epoch() < roster.get().epoch()) {
                messenger.send(guard, new RosterNotice(roster.get()));
            } else if (pending.claim().ask(roster.get())) {
                send(pending.claim().openRequests(clock.nowMs()));
            }
        }
        decide(pending);
    }

    private void decide(final PendingAttempt pending) {
        ClaimAttempt claim = pending.claim();
        if (claim.isGranted()) {
            if (isInTime(claim) && claim.move(State.ASKING, State.GRANTED)) {
                claim.decision().complete(Optional.empty());
            } else {
                abandon(pending);
            }
        } else if (claim.isRefused()) {
            abandon(pending);
        }
    }

    private void abandon(final PendingAttempt pending) {
        if (pending.claim().move(State.ASKING, State.ABANDONED)) {
            CallResult refusal = pending.claim().refusal();
            release(pending);
            pending.claim().decision().complete(Optional.of(refusal));
        }
    }

    private void tick(final PendingAttempt pending, final long nowMs) {
        ClaimAttempt claim = pending.claim();
        if (claim.isAsking()) {
            tickAsking(pending, nowMs);
        } else if (!isInTime(claim) && claim.move(State.GRANTED, State.ABANDONED)) {
            release(pending);
        } else if (pending.takeRelease()) {
            sendRelease(claim);
        } else if (pending.isReleasing() || claim.isDispatched() && nowMs > claim.deadlineMs() + timing.attemptMs()) {
            attempts.remove(claim.attempt());
        }
    }

    private void tickAsking(final PendingAttempt pending, final long nowMs) {
        ClaimAttempt claim = pending.claim();
        boolean askedLong = nowMs - pending.startMs() > ASK_TIMEOUT_MS && rules.contains(ClaimRule.ATTEMPT_DEADLINE);
        if (askedLong || !isInTime(claim)) {
            abandon(pending);
        } else if (nowMs - pending.askedMs() >= REPEAT_MS) {
            pending.asked(nowMs);
            pending.claim().asked().stream()
                    .map(Addressed::content)
                    .distinct()
                    .forEach(group -> roster(group).ifPresent(roster -> claim.ask(roster)));
            send(claim.openRequests(nowMs));
        }
    }

    private boolean isInTime(final ClaimAttempt claim) {
        return !rules.contains(ClaimRule.ATTEMPT_DEADLINE) || clock.nowMs() <= claim.latestDispatchMs();
    }

    private void release(final PendingAttempt pending) {
        pending.startReleasing();
        if (pending.takeRelease()) {
            sendRelease(pending.claim());
        }
    }

    private void sendRelease(final ClaimAttempt claim) {
        claim.asked()
                .forEach(to -> messenger.send(to.node(), new ClaimRelease(to.content(), claim.key(), claim.attempt())));
    }

    private void send(final List<Addressed<ClaimRequest>> requests) {
        requests.forEach(request -> messenger.send(request.node(), request.content()));
    }

    private Optional<Roster> roster(final String group) {
        return blackboard.value(Section.ROSTER, group, Roster.class);
    }
}
