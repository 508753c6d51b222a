package org.sequoiashunt.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiashunt.store.StoreException;

/** Register in memory that can be down and can lose an answer after the write. */
final class FakeMoveRegistry implements MoveRegistry {

    final Map<String, RolloutProgress> held = new HashMap<>();
    boolean down;
    int answersToLose;
    int calls;

    @Override
    public Optional<RolloutProgress> read(final String move) throws StoreException {
        check();
        return Optional.ofNullable(held.get(move));
    }

    @Override
    public RolloutProgress write(final RolloutProgress progress) throws StoreException {
        check();
        RolloutProgress prevailing = held.merge(progress.move(), progress, FakeMoveRegistry::prevailing);
        if (answersToLose > 0) {
            answersToLose--;
            throw new StoreException("answer lost", true);
        }
        return prevailing;
    }

    private void check() throws StoreException {
        calls++;
        if (down) {
            throw new StoreException("store down", false);
        }
    }

    private static RolloutProgress prevailing(final RolloutProgress present, final RolloutProgress offer) {
        boolean replaced = !present.stage().isSealed() && offer.entryVersion().isNewerThan(present.entryVersion());
        return replaced ? offer : present;
    }
}
