package org.sequoiashunt.rollout;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.time.Clock;

/**
 * Synchronizes the progress of moves with the platform's store: writes it, seals outcomes there, and brings back what
 * others wrote.
 *
 * <p>Controllers call {@link #offer} and {@link #follow}, which do not block; a thread of the platform calls
 * {@link #runOnce()} in a loop, which blocks on the store. Whatever the store holds afterwards is merged into the
 * blackboard, so a seal that another domain won, or one whose answer was lost, ends in the same state here.
 *
 * <p>Thread-safe, but only one thread may be in {@link #runOnce()}. Invariant: a take-back is only ever written as a
 * sealed one, so that no seal of a finished move can follow it in the store.
 */
public final class RolloutSynchronizer {

    private static final long READ_INTERVAL_MS = 5_000;
    private static final long FIRST_RETRY_MS = 500;
    private static final long LONGEST_RETRY_MS = 10_000;

    private final String node;
    private final Blackboard blackboard;
    private final MoveRegistry register;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<String, RolloutProgress> offered = new ConcurrentHashMap<>();
    private final Map<String, Long> followed = new ConcurrentHashMap<>();
    private final Map<String, Boolean> answered = new ConcurrentHashMap<>();
    private long retryAtMs;
    private long retryDelayMs = FIRST_RETRY_MS;

    private RolloutSynchronizer(
            final String node,
            final Blackboard blackboard,
            final MoveRegistry register,
            final Clock clock,
            final RandomGenerator random) {
        this.node = node;
        this.blackboard = blackboard;
        this.register = register;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Creates a sealer.
     *
     * @param node the name of this node, not null.
     * @param blackboard where to merge what the store holds, not null.
     * @param register the register in the store, not null.
     * @param clock the clock, not null.
     * @param random the source of chance for retry delays, not null; used by the thread in {@link #runOnce()} only.
     * @return the sealer, never null.
     */
    public static RolloutSynchronizer of(
            final String node,
            final Blackboard blackboard,
            final MoveRegistry register,
            final Clock clock,
            final RandomGenerator random) {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(register, "register");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(random, "random");
        return new RolloutSynchronizer(node, blackboard, register, clock, random);
    }

    /**
     * Asks for progress to be written. A later offer for the same move replaces one not yet written, if it is newer.
     *
     * @param progress the progress, not null; a take-back is sealed, all else is written as it is.
     */
    public void offer(final RolloutProgress progress) {
        offered.merge(progress.move(), sealTakeBack(progress), RolloutSynchronizer::newer);
    }

    /**
     * Asks for the store's progress of a move to be read from time to time.
     *
     * @param move the identity of the move, not null.
     */
    public void follow(final String move) {
        followed.putIfAbsent(move, Long.MIN_VALUE / 2);
    }

    /**
     * Stops following and writing a move.
     *
     * @param move the identity of the move, not null.
     */
    public void forget(final String move) {
        followed.remove(move);
        offered.remove(move);
        answered.remove(move);
    }

    /**
     * Tells whether the store has answered about a move.
     *
     * @param move the identity of the move, not null.
     * @return true if what the store held about the move has been merged at least once.
     */
    public boolean hasAnswered(final String move) {
        return answered.containsKey(move);
    }

    /** Writes and reads what is due. Blocks on the store; after a failure it does nothing until the retry is due. */
    public void runOnce() {
        if (clock.nowMs() < retryAtMs) {
            return;
        }
        try {
            for (RolloutProgress progress : Map.copyOf(offered).values()) {
                write(progress);
            }
            for (Map.Entry<String, Long> move : Map.copyOf(followed).entrySet()) {
                readIfDue(move.getKey(), move.getValue());
            }
            retryDelayMs = FIRST_RETRY_MS;
        } catch (StoreException exception) {
            delayRetry();
        }
    }

    private void write(final RolloutProgress progress) throws StoreException {
        if (isContradicted(progress)) {
            offered.remove(progress.move(), progress);
            return;
        }
        RolloutProgress prevailing = register.write(progress);
        offered.remove(progress.move(), progress);
        accept(progress.move(), Optional.of(prevailing));
    }

    private boolean isContradicted(final RolloutProgress progress) {
        if (progress.stage() != Stage.SEALED_DONE) {
            return false;
        }
        return blackboard
                .value(Section.ROLLOUT, progress.move(), RolloutProgress.class)
                .filter(present -> present.stage() == Stage.TAKEN_BACK)
                .isPresent();
    }

    private void readIfDue(final String move, final long lastMs) throws StoreException {
        if (clock.nowMs() - lastMs < READ_INTERVAL_MS) {
            return;
        }
        accept(move, register.read(move));
    }

    private void accept(final String move, final Optional<RolloutProgress> held) {
        held.ifPresent(progress -> blackboard.merge(Entry.of(move, node, progress.entryVersion(), progress)));
        answered.put(move, true);
        followed.computeIfPresent(move, (key, last) -> clock.nowMs());
    }

    private void delayRetry() {
        retryAtMs = clock.nowMs() + random.nextLong(1, retryDelayMs + 1);
        retryDelayMs = Math.min(LONGEST_RETRY_MS, retryDelayMs * 2);
    }

    private static RolloutProgress sealTakeBack(final RolloutProgress progress) {
        if (progress.stage() != Stage.TAKEN_BACK) {
            return progress;
        }
        return new RolloutProgress(
                progress.move(), progress.service(), Stage.SEALED_TAKEN_BACK, progress.shareParts(), progress.reason());
    }

    private static RolloutProgress newer(final RolloutProgress present, final RolloutProgress offer) {
        return offer.entryVersion().isNewerThan(present.entryVersion()) ? offer : present;
    }
}
