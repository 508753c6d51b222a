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
 * Progress of moves in the platform's store, one value per move, with the stages that it went through.
 *
 * <p>A value that cannot be read is reported and never overwritten. Thread-safe as far as the store is; holds no state.
 */
public final class StoredMoveRegistry implements MoveRegistry {

    /** Races against other failure domains for one move; more of them lose one attempt each. */
    private static final int MAXIMUM_ATTEMPTS = 16;

    private final Store store;
    private final Clock clock;

    private StoredMoveRegistry(final Store store, final Clock clock) {
        this.store = Objects.requireNonNull(store, "store");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Creates a register.
     *
     * @param store the store, not null.
     * @param clock the clock that dates the stages, not null.
     * @return a new register, never null.
     */
    public static StoredMoveRegistry of(final Store store, final Clock clock) {
        return new StoredMoveRegistry(store, clock);
    }

    @Override
    public Optional<RolloutProgress> read(final String move) throws StoreException {
        return readHistory(move).map(MoveHistory::latest);
    }

    /**
     * Reads the stages that a move went through.
     *
     * @param move the identity of the move, not null.
     * @return the stages, or empty if none was written.
     * @throws StoreException if the store did not answer or holds a value that cannot be read.
     */
    public Optional<MoveHistory> readHistory(final String move) throws StoreException {
        return find(move).map(RevisedDocument::document);
    }

    @Override
    public RolloutProgress write(final RolloutProgress progress) throws StoreException {
        Objects.requireNonNull(progress, "progress");
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            Optional<RevisedDocument<MoveHistory>> present = find(progress.move());
            if (present.isPresent() && prevails(present.get().document().latest(), progress)) {
                return present.get().document().latest();
            }
            if (swap(present, progress)) {
                return progress;
            }
        }
        throw new StoreException("too many changes at once of move '" + progress.move() + "'", false);
    }

    private Optional<RevisedDocument<MoveHistory>> find(final String move) throws StoreException {
        Objects.requireNonNull(move, "move");
        return RevisedDocument.read(store, StoreKeys.MOVES_PREFIX + move, MoveHistory.class);
    }

    private static boolean prevails(final RolloutProgress present, final RolloutProgress progress) {
        return present.stage().isSealed() || !progress.entryVersion().isNewerThan(present.entryVersion());
    }

    private boolean swap(final Optional<RevisedDocument<MoveHistory>> present, final RolloutProgress progress)
            throws StoreException {
        MoveHistory history = present.isEmpty()
                ? MoveHistory.of(progress, clock.nowMs())
                : present.get().document().with(progress, clock.nowMs());
        long revision = present.map(RevisedDocument::revision).orElse(Store.ABSENT_REVISION);
        try {
            store.compareAndSwap(StoreKeys.MOVES_PREFIX + progress.move(), revision, JsonCodec.write(history));
            return true;
        } catch (StoreConflictException conflict) {
            return false;
        }
    }
}
