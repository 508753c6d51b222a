package org.sequoiashunt.replication;

import java.util.HashMap;
import java.util.Map;
import org.sequoiashunt.blackboard.EntryKey;

/**
 * Remembers for a moment what was pulled, so that several peers that offer one change do not all deliver it.
 *
 * <p>Confined to one thread.
 */
final class PendingPulls {

    // Longer than a round trip between regions under load; a lost delivery is pulled again from the next offer.
    private static final long PULL_TIMEOUT_MS = 250;

    private final Map<EntryKey, Pulled> pulled = new HashMap<>();

    /** Notes a pull. Returns false if the same or a newer version is on its way. */
    boolean begin(final EntryStamp stamp, final long nowMs) {
        Pulled present = pulled.get(stamp.key());
        if (present != null && present.untilMs() > nowMs && !stamp.isNewerThan(present.stamp())) {
            return false;
        }
        pulled.put(stamp.key(), new Pulled(stamp, nowMs + PULL_TIMEOUT_MS));
        return true;
    }

    void expire(final long nowMs) {
        pulled.values().removeIf(pull -> pull.untilMs() <= nowMs);
    }

    /** A version on its way. Immutable and thread-safe. */
    private record Pulled(EntryStamp stamp, long untilMs) {}
}
