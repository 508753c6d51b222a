package org.sequoiashunt.execution;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.time.Clock;

/**
 * Guards the keys of one home group on one node: answers claims and exchanges heartbeats with the other guards. A node
 * runs a guard for each home group that its failure domain belongs to, whether or not the roster lists the node.
 *
 * <p>Thread-safe: the guard state and the ledger have separate locks, and no lock is held while a message is sent.
 * Invariant: of two claims of a key within the retention window at most one is granted, unless the entry of the first
 * has released it.
 */
public final class ClaimGuard implements Controller {

    /** Writer name of roster entries, the same on every node. */
    private static final String WRITER = "store";

    private final String node;
    private final GuardState state;
    private final ClaimLedger ledger;
    private final Blackboard blackboard;
    private final Clock clock;
    private final ClaimTiming timing;
    private final Set<ClaimRule> rules;
    private final ControlMessenger messenger;
    private volatile long nextHeartbeatMs;
    private volatile long lastHeartbeatEpoch;

    /**
     * Creates a guard with an empty ledger.
     *
     * @param node the name of this node, not null.
     * @param state the node's state as a guard of the group, not null.
     * @param blackboard the blackboard that replicates rosters, not null.
     * @param clock the local clock, not null.
     * @param timing the time limits of claims, not null.
     * @param capacity the limits of the ledger, not null.
     * @param rules the rules in force, not null.
     * @param messenger sends control messages to nodes by name, not null.
     */
    public ClaimGuard(
            final String node,
            final GuardState state,
            final Blackboard blackboard,
            final Clock clock,
            final ClaimTiming timing,
            final ClaimCapacity capacity,
            final Set<ClaimRule> rules,
            final ControlMessenger messenger) {
        this.node = Objects.requireNonNull(node, "node");
        this.state = Objects.requireNonNull(state, "state");
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timing = Objects.requireNonNull(timing, "timing");
        this.rules = Set.copyOf(rules);
        this.messenger = Objects.requireNonNull(messenger, "messenger");
        this.ledger = new ClaimLedger(capacity, timing.retentionMs(), rules);
    }

    @Override
    public void tick() {
        blackboard.value(Section.ROSTER, state.group(), Roster.class).ifPresent(state::adopt);
        state.roster().ifPresent(roster -> publish(blackboard, roster));
        ledger.expire(clock.nowMs());
        sendHeartbeats();
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        if (message instanceof ClaimRequest request && isThisGroup(request.group())) {
            ClaimReply reply = answer(request);
            if (reply.verdict() == ClaimVerdict.EPOCH_DIFFERS) {
                sendRosterIfOlder(sender, request.epoch());
            }
            messenger.send(sender, reply);
            return true;
        }
        if (message instanceof ClaimRelease release && isThisGroup(release.group())) {
            ledger.release(release.key(), release.attempt());
            return true;
        }
        if (message instanceof ClaimOutcome outcome && isThisGroup(outcome.group())) {
            ledger.record(outcome.key(), outcome.attempt(), outcome.result());
            return true;
        }
        return receiveGuardMessage(sender, message);
    }

    /**
     * Counts the retained claims.
     *
     * @return the number of claims.
     */
    public int claimCount() {
        return ledger.size();
    }

    /**
     * Writes a roster to a blackboard, where it replaces rosters of older epochs.
     *
     * @param blackboard the blackboard, not null.
     * @param roster the roster, not null.
     */
    static void publish(final Blackboard blackboard, final Roster roster) {
        blackboard.merge(Entry.of(roster.group(), WRITER, EntryVersion.of(roster.epoch(), 0), roster));
    }

    private boolean receiveGuardMessage(final String sender, final ControlMessage message) {
        if (message instanceof GuardHeartbeat heartbeat && isThisGroup(heartbeat.group())) {
            answerHeartbeat(sender, heartbeat);
            return true;
        }
        if (message instanceof GuardHeartbeatReply reply && isThisGroup(reply.group())) {
            state.recordAnswer(sender, reply.epoch(), reply.sentMs());
            sendRosterIfOlder(sender, reply.epoch());
            return true;
        }
        if (message instanceof RosterNotice notice
                && isThisGroup(notice.roster().group())) {
            if (state.adopt(notice.roster())) {
                publish(blackboard, notice.roster());
                sendHeartbeats();
            }
            return true;
        }
        return false;
    }

    private ClaimReply answer(final ClaimRequest request) {
        ClaimVerdict refusal = refusal(request);
        if (refusal != null) {
            return reply(request, refusal, Optional.empty());
        }
        boolean completeHistory = state.hasCompleteHistory(request.key());
        ClaimLedger.Decision decision =
                ledger.claim(request.key(), request.attempt(), request.remainingMs(), clock.nowMs());
        boolean countsTowardsMajority = completeHistory || decision.verdict() != ClaimVerdict.GRANTED;
        return reply(request, countsTowardsMajority ? decision.verdict() : ClaimVerdict.RECORDED, decision.answer());
    }

    /** Returns why a claim must not be recorded, or null if it may be. */
    private ClaimVerdict refusal(final ClaimRequest request) {
        if (rules.contains(ClaimRule.EPOCH_CHECK) && (request.epoch() != state.epoch() || !state.isGuard())) {
            return ClaimVerdict.EPOCH_DIFFERS;
        }
        if (request.remainingMs() <= 0 && rules.contains(ClaimRule.ATTEMPT_DEADLINE)) {
            return ClaimVerdict.ENDED;
        }
        return state.isStartConfirmed() && state.hasReachableMajority() ? null : ClaimVerdict.FENCED;
    }

    private ClaimReply reply(
            final ClaimRequest request, final ClaimVerdict verdict, final Optional<CallResult> result) {
        return new ClaimReply(state.group(), state.epoch(), request.key(), request.attempt(), verdict, result);
    }

    private void answerHeartbeat(final String sender, final GuardHeartbeat heartbeat) {
        sendRosterIfOlder(sender, heartbeat.epoch());
        if (state.isStartConfirmed()) {
            messenger.send(sender, new GuardHeartbeatReply(state.group(), state.epoch(), heartbeat.sentMs()));
        }
    }

    private void sendRosterIfOlder(final String node, final long nodeEpoch) {
        if (nodeEpoch < state.epoch()) {
            state.roster().ifPresent(roster -> messenger.send(node, new RosterNotice(roster)));
        }
    }

    private void sendHeartbeats() {
        long nowMs = clock.nowMs();
        boolean due = nowMs >= nextHeartbeatMs || state.epoch() != lastHeartbeatEpoch;
        if (!due || !state.isGuard()) {
            return;
        }
        lastHeartbeatEpoch = state.epoch();
        nextHeartbeatMs = nowMs + timing.heartbeatMs();
        state.recordHeartbeatsSent();
        GuardHeartbeat heartbeat = new GuardHeartbeat(state.group(), state.epoch(), nowMs);
        state.roster().stream()
                .flatMap(roster -> roster.guards().stream())
                .filter(guard -> !guard.equals(node))
                .forEach(guard -> messenger.send(guard, heartbeat));
    }

    private boolean isThisGroup(final String group) {
        return group.equals(state.group());
    }
}
