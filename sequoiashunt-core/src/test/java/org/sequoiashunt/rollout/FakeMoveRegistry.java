package org.sequoiashunt.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiashunt.store.StoreException;

/** Registry in memory that can be made unavailable and can drop the answer to a successful write. */
final class FakeMoveRegistry implements MoveRegistry {

    final Map<String, RolloutProgress> stored = new HashMap<>();
    boolean unavailable;
    int answersToDrop;
    int callCount;

    @Override
    public Optional<RolloutProgress> read(final String move) throws StoreException {
        countCallAndCheckAvailable();
        return Optional.ofNullable(stored.get(move));
    }

    @Override
    public RolloutProgress write(final RolloutProgress progress) throws StoreException {
        countCallAndCheckAvailable();
        RolloutProgress result = stored.merge(progress.move(), progress, FakeMoveRegistry::newerUnlessSealed);
        if (answersToDrop > 0) {
            answersToDrop--;
            throw new StoreException("store answer lost after the write", true);
        }
        return result;
    }

    private void countCallAndCheckAvailable() throws StoreException {
        callCount++;
        if (unavailable) {
            throw new StoreException("store unavailable", false);
        }
    }

    private static RolloutProgress newerUnlessSealed(final RolloutProgress present, final RolloutProgress candidate) {
        boolean replaced =
                !present.stage().isSealed() && candidate.entryVersion().isNewerThan(present.entryVersion());
        return replaced ? candidate : present;
    }
}
