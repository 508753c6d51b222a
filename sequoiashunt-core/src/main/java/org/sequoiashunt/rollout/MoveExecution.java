package org.sequoiashunt.rollout;

import java.util.Optional;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.time.Clock;

/**
 * Execution of one move by one controller.
 *
 * <p>Each tick reads the move's progress afresh. A step that is new to this controller, because another one took it or
 * because this process was frozen, starts its time anew here, so that no step is skipped or cut short.
 *
 * <p>Confined to the control thread. Invariant: writes only progress that is newer than what it has read.
 */
final class MoveExecution {

    private static final long BLOCK_INTERVAL_MS = 500;

    /** How long to wait for what the store holds of the move before it starts without. */
    private static final long STORE_WAIT_MS = 5_000;

    private static final EntryVersion WAITING_VERSION = EntryVersion.of(Stage.SHIFTING.rank(), 0);

    private final String node;
    private final String service;
    private final Move move;
    private final String identity;
    private final Blackboard blackboard;
    private final ServingMembers serving;
    private final RolloutSynchronizer sealer;
    private final Clock clock;
    private final MoveEvidence evidence;
    private final TargetLossDetector targets;
    private final StepPacer pacer;
    private final long begunMs;
    private Optional<EntryVersion> known = Optional.empty();
    private long sharedSinceMs;
    private long blockBeganMs;

    MoveExecution(
            final String node,
            final ServiceConfiguration configuration,
            final Blackboard blackboard,
            final ServingMembers serving,
            final RolloutSynchronizer sealer,
            final VersionAnalyzer judge,
            final Clock clock) {
        this.node = node;
        this.service = configuration.service();
        this.move = configuration.move().orElseThrow();
        this.identity = configuration.moveIdentity().orElseThrow();
        this.blackboard = blackboard;
        this.serving = serving;
        this.sealer = sealer;
        this.clock = clock;
        this.evidence = new MoveEvidence(service, move, judge);
        this.targets = new TargetLossDetector(service, move.to(), blackboard, serving);
        this.begunMs = clock.nowMs();
        this.pacer = new StepPacer(move.finishByMs(), begunMs);
        this.blockBeganMs = begunMs;
    }

    /** Does what is due. */
    void tick() {
        pacer.noteTick(clock.nowMs());
        Optional<RolloutProgress> present = read();
        noteChange(present);
        if (present.isEmpty() || isWaiting(present.get())) {
            start(present);
            return;
        }
        RolloutProgress progress = present.get();
        switch (progress.stage()) {
            case SHIFTING, WATCHING -> carryOn(progress);
            case TAKEN_BACK -> sealer.offer(progress);
            default -> sealer.forget(identity);
        }
    }

    private Optional<RolloutProgress> read() {
        return blackboard.value(Section.ROLLOUT, identity, RolloutProgress.class);
    }

    private void noteChange(final Optional<RolloutProgress> present) {
        Optional<EntryVersion> version = present.map(RolloutProgress::entryVersion);
        if (version.equals(known)) {
            return;
        }
        if (known.isEmpty() || known.get().equals(WAITING_VERSION)) {
            sharedSinceMs = clock.nowMs();
        }
        known = version;
        pacer.begin(clock.nowMs());
        present.filter(progress -> !progress.stage().isSealed()).ifPresent(sealer::offer);
    }

    private static boolean isWaiting(final RolloutProgress progress) {
        return progress.entryVersion().equals(WAITING_VERSION);
    }

    private void start(final Optional<RolloutProgress> present) {
        boolean storeKnown = sealer.hasAnswered(identity) || clock.nowMs() - begunMs >= STORE_WAIT_MS;
        if (!storeKnown) {
            return;
        }
        if (serving.serves(service, move.to())) {
            publish(RolloutStep.TRACE);
        } else if (present.isEmpty()) {
            String reason = "waiting: no target of " + move.to() + " serves yet";
            write(new RolloutProgress(identity, service, Stage.SHIFTING, 0, reason));
        }
    }

    private void carryOn(final RolloutProgress progress) {
        long nowMs = clock.nowMs();
        if (nowMs - blockBeganMs >= BLOCK_INTERVAL_MS) {
            blockBeganMs = nowMs;
            evidence.advance(blackboard.entries(Section.EVIDENCE), nowMs);
        }
        Optional<String> fault = evidence.fault().or(() -> targets.look(nowMs));
        if (fault.isPresent()) {
            takeBack(progress, fault.get());
        } else {
            stepUpIfDue(progress, nowMs);
        }
    }

    private void stepUpIfDue(final RolloutProgress progress, final long nowMs) {
        RolloutStep step = RolloutStep.of(progress);
        boolean waiting = evidence.isDoubtful() || evidence.isCutOff(nowMs);
        if (!pacer.isDue(step, waiting, expectedRequests(nowMs), nowMs)) {
            return;
        }
        if (step == RolloutStep.WHOLE) {
            sealer.offer(progress(Stage.SEALED_DONE, step));
        } else if (step == RolloutStep.NEARLY_ALL && evidence.isDoubtful()) {
            takeBack(progress, "still in doubt when the time was up: " + evidence.doubt());
        } else {
            step.next().ifPresent(this::publish);
        }
    }

    private double expectedRequests(final long nowMs) {
        long windowMs = Math.max(0, move.finishByMs() - begunMs);
        return evidence.requestsPerSecond(nowMs) * windowMs / 1_000;
    }

    private void takeBack(final RolloutProgress progress, final String why) {
        long seconds = (clock.nowMs() - sharedSinceMs) / 1_000;
        write(progress.takenBack(why + "; " + seconds + " s after the start"));
    }

    private void publish(final RolloutStep step) {
        write(progress(step.stage(), step));
    }

    private RolloutProgress progress(final Stage stage, final RolloutStep step) {
        long nowMs = clock.nowMs();
        String prefix = stage == Stage.SEALED_DONE ? "done" : "at " + ShareFormatter.percent(step.shareParts());
        String reason = prefix + "; " + evidence.describe(nowMs) + pacer.describe(step, expectedRequests(nowMs), nowMs);
        return new RolloutProgress(identity, service, stage, step.shareParts(), reason);
    }

    private void write(final RolloutProgress progress) {
        blackboard.merge(Entry.of(identity, node, progress.entryVersion(), progress));
        noteChange(read());
    }
}
