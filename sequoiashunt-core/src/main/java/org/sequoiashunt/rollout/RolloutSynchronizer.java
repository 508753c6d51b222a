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
 * Synchronizes the progress of moves with the platform's store: writes progress, seals outcomes, and merges the
 * stored progress into the blackboard. A sealed outcome is one that the store holds and never changes.
 *
 * <p>Controllers call {@link #enqueueWrite} and {@link #startReading}, which do not block. A dedicated thread calls
 * {@link #runOnce()} in a loop, which blocks on the store. The progress that the store holds after a write or read is
 * merged into the blackboard. So this node reaches the same outcome also when another failure domain sealed it first,
 * or when the store's answer to the seal was lost.
 *
 * <p>Thread-safe, but only one thread at a time may call {@link #runOnce()}. Invariant: a rollback is always written
 * as sealed, so that the store never replaces it with {@link Stage#SEALED_DONE}.
 */
public final class RolloutSynchronizer {

    /** Shortest time between two reads of the same move, in milliseconds. */
    private static final long READ_INTERVAL_MS = 5_000;

    private static final long INITIAL_RETRY_DELAY_MS = 500;
    private static final long MAXIMUM_RETRY_DELAY_MS = 10_000;

    private final String node;
    private final Blackboard blackboard;
    private final MoveRegistry registry;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<String, RolloutProgress> pendingWrites = new ConcurrentHashMap<>();
    private final Map<String, Long> lastReadMsByMove = new ConcurrentHashMap<>();
    private final Map<String, Boolean> mergedMoves = new ConcurrentHashMap<>();
    private long retryAtMs;
    private long retryDelayMs = INITIAL_RETRY_DELAY_MS;

    private RolloutSynchronizer(
            final String node,
            final Blackboard blackboard,
            final MoveRegistry registry,
            final Clock clock,
            final RandomGenerator random) {
        this.node = node;
        this.blackboard = blackboard;
        this.registry = registry;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Creates a synchronizer.
     *
     * @param node the name of this node, not null.
     * @param blackboard the blackboard to merge the stored progress into, not null.
     * @param registry the registry of moves in the store, not null.
     * @param clock the clock, not null.
     * @param random the random source for retry delays, not null; used only by the thread that calls
     *     {@link #runOnce()}.
     * @return the synchronizer, never null.
     */
    public static RolloutSynchronizer of(
            final String node,
            final Blackboard blackboard,
            final MoveRegistry registry,
            final Clock clock,
            final RandomGenerator random) {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(registry, "registry");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(random, "random");
        return new RolloutSynchronizer(node, blackboard, registry, clock, random);
    }

    /**
     * Enqueues progress to be written to the store. Progress of the same move that is not yet written is replaced if
     * the given progress is newer.
     *
     * @param progress the progress, not null; a rollback is written as sealed, all else unchanged.
     */
    public void enqueueWrite(final RolloutProgress progress) {
        pendingWrites.merge(progress.move(), sealRollback(progress), RolloutSynchronizer::newer);
    }

    /**
     * Starts reading the progress of a move from the store periodically.
     *
     * @param move the identity of the move, not null.
     */
    public void startReading(final String move) {
        lastReadMsByMove.putIfAbsent(move, Long.MIN_VALUE / 2);
    }

    /**
     * Stops reading and writing the progress of a move.
     *
     * @param move the identity of the move, not null.
     */
    public void stopSynchronizing(final String move) {
        lastReadMsByMove.remove(move);
        pendingWrites.remove(move);
        mergedMoves.remove(move);
    }

    /**
     * Tells whether the store's state of a move has been read.
     *
     * @param move the identity of the move, not null.
     * @return true if the store has answered a read or write of the move at least once, and any progress that it held
     *     has been merged.
     */
    public boolean hasMergedStoreState(final String move) {
        return mergedMoves.containsKey(move);
    }

    /**
     * Writes all enqueued progress and reads the moves that are due. Blocks on the store. After a store failure it
     * does nothing until the retry is due; the retry delay is random, and its upper limit doubles with each failure
     * up to {@value #MAXIMUM_RETRY_DELAY_MS} ms.
     */
    public void runOnce() {
        if (clock.nowMs() < retryAtMs) {
            return;
        }
        try {
            for (RolloutProgress progress : Map.copyOf(pendingWrites).values()) {
                write(progress);
            }
            for (Map.Entry<String, Long> move : Map.copyOf(lastReadMsByMove).entrySet()) {
                readIfDue(move.getKey(), move.getValue());
            }
            retryDelayMs = INITIAL_RETRY_DELAY_MS;
        } catch (StoreException exception) {
            delayRetry();
        }
    }

    private void write(final RolloutProgress progress) throws StoreException {
        if (contradictsRollback(progress)) {
            pendingWrites.remove(progress.move(), progress);
            return;
        }
        RolloutProgress stored = registry.write(progress);
        pendingWrites.remove(progress.move(), progress);
        mergeStored(progress.move(), Optional.of(stored));
    }

    private boolean contradictsRollback(final RolloutProgress progress) {
        if (progress.stage() != Stage.SEALED_DONE) {
            return false;
        }
        return blackboard
                .value(Section.ROLLOUT, progress.move(), RolloutProgress.class)
                .filter(current -> current.stage() == Stage.TAKEN_BACK)
                .isPresent();
    }

    private void readIfDue(final String move, final long lastReadMs) throws StoreException {
        if (clock.nowMs() - lastReadMs < READ_INTERVAL_MS) {
            return;
        }
        mergeStored(move, registry.read(move));
    }

    private void mergeStored(final String move, final Optional<RolloutProgress> stored) {
        stored.ifPresent(progress -> blackboard.merge(Entry.of(move, node, progress.entryVersion(), progress)));
        mergedMoves.put(move, true);
        lastReadMsByMove.computeIfPresent(move, (key, lastReadMs) -> clock.nowMs());
    }

    private void delayRetry() {
        retryAtMs = clock.nowMs() + random.nextLong(1, retryDelayMs + 1);
        retryDelayMs = Math.min(MAXIMUM_RETRY_DELAY_MS, retryDelayMs * 2);
    }

    private static RolloutProgress sealRollback(final RolloutProgress progress) {
        if (progress.stage() != Stage.TAKEN_BACK) {
            return progress;
        }
        return new RolloutProgress(
                progress.move(), progress.service(), Stage.SEALED_TAKEN_BACK, progress.shareParts(), progress.reason());
    }

    private static RolloutProgress newer(final RolloutProgress pending, final RolloutProgress candidate) {
        return candidate.entryVersion().isNewerThan(pending.entryVersion()) ? candidate : pending;
    }
}
