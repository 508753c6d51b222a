package org.sequoiashunt.commit;

import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.rollout.MoveRegistry;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreConflictException;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoreKeys;
import org.sequoiashunt.time.Clock;

/**
 * Progress of moves in the platform's store: one value per move, which holds the history of its stages.
 *
 * <p>A value that cannot be read is reported and never overwritten. Stateless; as thread-safe as the store.
 */
public final class StoredMoveRegistry implements MoveRegistry {

    /** Attempts of one write; each concurrent write by another failure domain fails one of them. */
    private static final int MAXIMUM_SWAP_ATTEMPTS = 16;

    private final Store store;
    private final Clock clock;

    private StoredMoveRegistry(final Store store, final Clock clock) {
        this.store = Objects.requireNonNull(store, "store");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Creates a registry that reads and writes the given store.
     *
     * @param store the store, not null.
     * @param clock the clock that gives each stage its time, not null.
     * @return a new registry, never null.
     */
    public static StoredMoveRegistry of(final Store store, final Clock clock) {
        return new StoredMoveRegistry(store, clock);
    }

    @Override
    public Optional<RolloutProgress> read(final String move) throws StoreException {
        return readHistory(move).map(MoveHistory::latestProgress);
    }

    /**
     * Reads the stages that a move went through.
     *
     * @param move the id of the move, not null.
     * @return the history, or empty if no stage was written.
     * @throws StoreException if the store did not answer or holds a value that cannot be read.
     */
    public Optional<MoveHistory> readHistory(final String move) throws StoreException {
        return readRevised(move).map(RevisedDocument::document);
    }

    @Override
    public RolloutProgress write(final RolloutProgress progress) throws StoreException {
        Objects.requireNonNull(progress, "progress");
        for (int attempt = 0; attempt < MAXIMUM_SWAP_ATTEMPTS; attempt++) {
            Optional<RevisedDocument<MoveHistory>> stored = readRevised(progress.move());
            if (stored.isPresent() && keepsStored(stored.get().document().latestProgress(), progress)) {
                return stored.get().document().latestProgress();
            }
            if (trySwap(stored, progress)) {
                return progress;
            }
        }
        throw new StoreException(
                "the progress of move '" + progress.move() + "' was changed concurrently in every attempt", false);
    }

    private Optional<RevisedDocument<MoveHistory>> readRevised(final String move) throws StoreException {
        Objects.requireNonNull(move, "move");
        return RevisedDocument.read(store, StoreKeys.MOVES_PREFIX + move, MoveHistory.class);
    }

    private static boolean keepsStored(final RolloutProgress stored, final RolloutProgress proposed) {
        return stored.stage().isSealed() || !proposed.entryVersion().isNewerThan(stored.entryVersion());
    }

    private boolean trySwap(final Optional<RevisedDocument<MoveHistory>> stored, final RolloutProgress progress)
            throws StoreException {
        MoveHistory history = stored.isEmpty()
                ? MoveHistory.of(progress, clock.nowMs())
                : stored.get().document().append(progress, clock.nowMs());
        long revision = stored.map(RevisedDocument::revision).orElse(Store.ABSENT_REVISION);
        try {
            store.compareAndSwap(StoreKeys.MOVES_PREFIX + progress.move(), revision, JsonCodec.write(history));
            return true;
        } catch (StoreConflictException conflict) {
            return false;
        }
    }
}
