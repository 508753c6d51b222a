package org.sequoiashunt.rollout;

import java.util.Optional;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.time.Clock;

/**
 * One controller's part in one move.
 *
 * <p>Each tick reads the move's progress afresh. A step that is new to this controller, because another one took it or
 * because this process was frozen, starts its time anew here, so that no step is skipped or cut short.
 *
 * <p>Confined to the control thread. Invariant: writes only progress that is newer than what it has read.
 */
final class MoveRun {

    private static final long BLOCK_INTERVAL_MS = 1_000;
    private static final long STORE_WAIT_MS = 5_000;

    private final String node;
    private final String service;
    private final Move move;
    private final String identity;
    private final Blackboard blackboard;
    private final ServingMembers serving;
    private final RolloutSealer sealer;
    private final VersionJudge judge;
    private final Clock clock;
    private final EvidenceTracker tracker;
    private final long begunMs;
    private Optional<RolloutProgress> known = Optional.empty();
    private long stepBeganMs;
    private long blockBeganMs;
    private Judgement judgement = Judgement.SOUND;

    MoveRun(
            final String node,
            final ServiceConfiguration configuration,
            final Blackboard blackboard,
            final ServingMembers serving,
            final RolloutSealer sealer,
            final VersionJudge judge,
            final Clock clock) {
        this.node = node;
        this.service = configuration.service();
        this.move = configuration.move().orElseThrow();
        this.identity = configuration.moveIdentity().orElseThrow();
        this.blackboard = blackboard;
        this.serving = serving;
        this.sealer = sealer;
        this.judge = judge;
        this.clock = clock;
        this.tracker = new EvidenceTracker(service, move);
        this.begunMs = clock.nowMs();
        this.stepBeganMs = begunMs;
        this.blockBeganMs = begunMs;
    }

    /** Does what is due. */
    void tick() {
        Optional<RolloutProgress> present = blackboard.value(Section.ROLLOUT, identity, RolloutProgress.class);
        noteChange(present);
        if (present.isEmpty()) {
            start();
            return;
        }
        RolloutProgress progress = present.get();
        switch (progress.stage()) {
            case SHIFTING, WATCHING -> carryOn(progress);
            case TAKEN_BACK -> sealer.offer(progress);
            default -> sealer.forget(identity);
        }
    }

    private void noteChange(final Optional<RolloutProgress> present) {
        if (!present.equals(known)) {
            known = present;
            stepBeganMs = clock.nowMs();
            present.filter(progress -> !progress.stage().isSealed()).ifPresent(sealer::offer);
        }
    }

    private void start() {
        boolean storeKnown = sealer.hasAnswered(identity) || clock.nowMs() - begunMs >= STORE_WAIT_MS;
        if (storeKnown && serving.serves(service, move.to())) {
            publish(RolloutStep.TRACE);
        }
    }

    private void carryOn(final RolloutProgress progress) {
        judgeIfDue();
        if (judgement.finding() == Judgement.Finding.FAULTY) {
            takeBack(progress);
            return;
        }
        stepUpIfDue(RolloutStep.of(progress));
    }

    private void judgeIfDue() {
        long nowMs = clock.nowMs();
        if (nowMs - blockBeganMs < BLOCK_INTERVAL_MS) {
            return;
        }
        blockBeganMs = nowMs;
        judgement = judge.judge(tracker.advance(blackboard.entries(Section.EVIDENCE), nowMs));
    }

    private void stepUpIfDue(final RolloutStep step) {
        long remainingMs = move.finishByMs() - stepBeganMs;
        if (clock.nowMs() - stepBeganMs < step.holdMs(remainingMs)) {
            return;
        }
        if (step == RolloutStep.WHOLE) {
            sealer.offer(progress(Stage.SEALED_DONE, step.shareParts()));
        } else {
            step.next().ifPresent(this::publish);
        }
    }

    private void takeBack(final RolloutProgress progress) {
        String reason = "taken back at " + ShareText.percent(progress.shareParts()) + ": " + judgement.explanation();
        write(new RolloutProgress(identity, service, Stage.TAKEN_BACK, 0, reason));
    }

    private void publish(final RolloutStep step) {
        write(progress(step.stage(), step.shareParts()));
    }

    private RolloutProgress progress(final Stage stage, final int shareParts) {
        return new RolloutProgress(identity, service, stage, shareParts, "at " + ShareText.percent(shareParts));
    }

    private void write(final RolloutProgress progress) {
        blackboard.merge(Entry.of(identity, node, progress.entryVersion(), progress));
        noteChange(blackboard.value(Section.ROLLOUT, identity, RolloutProgress.class));
    }
}
