package org.sequoiashunt.trial.rollout;

import java.util.Optional;
import org.sequoiashunt.rollout.MoveRegistry;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.store.StoreException;

/** Registry of one move in memory, which can be out. Confined to one thread. */
final class TrialMoveRegistry implements MoveRegistry {

    private final boolean out;
    private RolloutProgress held;

    TrialMoveRegistry(final boolean out) {
        this.out = out;
    }

    @Override
    public Optional<RolloutProgress> read(final String move) throws StoreException {
        check();
        return Optional.ofNullable(held);
    }

    @Override
    public RolloutProgress write(final RolloutProgress progress) throws StoreException {
        check();
        boolean replaces = held == null
                || !held.stage().isSealed() && progress.entryVersion().isNewerThan(held.entryVersion());
        if (replaces) {
            held = progress;
        }
        return held;
    }

    private void check() throws StoreException {
        if (out) {
            throw new StoreException("store out", false);
        }
    }
}
