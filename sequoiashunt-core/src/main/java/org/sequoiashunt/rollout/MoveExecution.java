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
 * Executes one move on one controller: starts it, raises the new version's share step by step and rolls it back on a
 * fault.
 *
 * <p>Each tick reads the move's progress from the blackboard. The hold time of a step restarts when this controller
 * first sees the step, because another controller advanced the move, or when this process was suspended. So no step
 * is skipped or held too briefly.
 *
 * <p>Confined to the control thread. Invariant: writes only progress that is newer than the progress it has read.
 */
final class MoveExecution {

    /** Shortest time between two analyses, in milliseconds. */
    private static final long BLOCK_INTERVAL_MS = 500;

    /**
     * Longest time to wait for the move's progress from the store before the move starts without it, in milliseconds.
     */
    private static final long STORE_WAIT_MS = 5_000;

    /** Version of the progress of a move that waits for a target of its new version: share zero. */
    private static final EntryVersion WAITING_VERSION = EntryVersion.of(Stage.SHIFTING.rank(), 0);

    private final String node;
    private final String service;
    private final Move move;
    private final String moveIdentity;
    private final Blackboard blackboard;
    private final ServingMembers servingMembers;
    private final RolloutSynchronizer synchronizer;
    private final Clock clock;
    private final MoveEvidence evidence;
    private final TargetLossDetector targetLossDetector;
    private final StepPacer pacer;
    private final long startMs;
    private Optional<EntryVersion> lastVersion = Optional.empty();
    private long trafficStartMs;
    private long blockStartMs;

    MoveExecution(
            final String node,
            final ServiceConfiguration configuration,
            final Blackboard blackboard,
            final ServingMembers servingMembers,
            final RolloutSynchronizer synchronizer,
            final VersionAnalyzer analyzer,
            final Clock clock) {
        this.node = node;
        this.service = configuration.service();
        this.move = configuration.move().orElseThrow();
        this.moveIdentity = configuration.moveIdentity().orElseThrow();
        this.blackboard = blackboard;
        this.servingMembers = servingMembers;
        this.synchronizer = synchronizer;
        this.clock = clock;
        this.evidence = new MoveEvidence(service, move, analyzer);
        this.targetLossDetector = new TargetLossDetector(service, move.to(), blackboard, servingMembers);
        this.startMs = clock.nowMs();
        this.pacer = new StepPacer(move.finishByMs(), startMs);
        this.blockStartMs = startMs;
    }

    /**
     * Starts, advances or rolls back the move if that is due, and requests the store writes that its stage needs.
     */
    void tick() {
        pacer.recordTick(clock.nowMs());
        Optional<RolloutProgress> currentProgress = readProgress();
        handleProgressChange(currentProgress);
        if (currentProgress.isEmpty() || isWaitingForTarget(currentProgress.get())) {
            start(currentProgress);
            return;
        }
        RolloutProgress progress = currentProgress.get();
        switch (progress.stage()) {
            case SHIFTING, WATCHING -> continueMove(progress);
            case TAKEN_BACK -> synchronizer.enqueueWrite(progress);
            default -> synchronizer.stopSynchronizing(moveIdentity);
        }
    }

    private Optional<RolloutProgress> readProgress() {
        return blackboard.value(Section.ROLLOUT, moveIdentity, RolloutProgress.class);
    }

    private void handleProgressChange(final Optional<RolloutProgress> currentProgress) {
        Optional<EntryVersion> version = currentProgress.map(RolloutProgress::entryVersion);
        if (version.equals(lastVersion)) {
            return;
        }
        if (lastVersion.isEmpty() || lastVersion.get().equals(WAITING_VERSION)) {
            trafficStartMs = clock.nowMs();
        }
        lastVersion = version;
        pacer.startStep(clock.nowMs());
        currentProgress.filter(progress -> !progress.stage().isSealed()).ifPresent(synchronizer::enqueueWrite);
    }

    private static boolean isWaitingForTarget(final RolloutProgress progress) {
        return progress.entryVersion().equals(WAITING_VERSION);
    }

    private void start(final Optional<RolloutProgress> currentProgress) {
        boolean storeReadOrTimedOut =
                synchronizer.hasMergedStoreState(moveIdentity) || clock.nowMs() - startMs >= STORE_WAIT_MS;
        if (!storeReadOrTimedOut) {
            return;
        }
        if (servingMembers.serves(service, move.to())) {
            publishStep(RolloutStep.INITIAL);
        } else if (currentProgress.isEmpty()) {
            String reason = "waiting: no target of " + move.to() + " serves yet";
            writeProgress(new RolloutProgress(moveIdentity, service, Stage.SHIFTING, 0, reason));
        }
    }

    private void continueMove(final RolloutProgress progress) {
        long nowMs = clock.nowMs();
        if (nowMs - blockStartMs >= BLOCK_INTERVAL_MS) {
            blockStartMs = nowMs;
            evidence.update(blackboard.entries(Section.EVIDENCE), nowMs);
        }
        Optional<String> fault = evidence.fault().or(() -> targetLossDetector.detectLoss(nowMs));
        if (fault.isPresent()) {
            rollBack(progress, fault.get());
        } else {
            advanceIfDue(progress, nowMs);
        }
    }

    private void advanceIfDue(final RolloutProgress progress, final long nowMs) {
        RolloutStep step = RolloutStep.of(progress);
        boolean extend = evidence.isSuspected() || evidence.isPartitioned(nowMs);
        if (!pacer.isDue(step, extend, expectedRequests(nowMs), nowMs)) {
            return;
        }
        if (step == RolloutStep.ALL) {
            synchronizer.enqueueWrite(progress(Stage.SEALED_DONE, step));
        } else if (step == RolloutStep.NEARLY_ALL && evidence.isSuspected()) {
            rollBack(progress, "still in doubt when the time was up: " + evidence.suspicion());
        } else {
            step.next().ifPresent(this::publishStep);
        }
    }

    private double expectedRequests(final long nowMs) {
        long windowMs = Math.max(0, move.finishByMs() - startMs);
        return evidence.requestsPerSecond(nowMs) * windowMs / 1_000;
    }

    private void rollBack(final RolloutProgress progress, final String explanation) {
        long seconds = (clock.nowMs() - trafficStartMs) / 1_000;
        writeProgress(progress.rolledBack(explanation + "; " + seconds + " s after the start"));
    }

    private void publishStep(final RolloutStep step) {
        writeProgress(progress(step.stage(), step));
    }

    private RolloutProgress progress(final Stage stage, final RolloutStep step) {
        long nowMs = clock.nowMs();
        String prefix = stage == Stage.SEALED_DONE ? "done" : "at " + ShareFormatter.formatPercent(step.shareParts());
        String reason = prefix + "; " + evidence.describe(nowMs) + pacer.describe(step, expectedRequests(nowMs), nowMs);
        return new RolloutProgress(moveIdentity, service, stage, step.shareParts(), reason);
    }

    private void writeProgress(final RolloutProgress progress) {
        blackboard.merge(Entry.of(moveIdentity, node, progress.entryVersion(), progress));
        handleProgressChange(readProgress());
    }
}
