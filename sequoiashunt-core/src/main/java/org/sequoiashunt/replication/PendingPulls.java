package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Tracks pulls until their entries arrive, so that several peers that offer one change do not all deliver it, and a
 * lost answer is requested again.
 *
 * <p>Confined to one thread.
 */
final class PendingPulls {

    // Longer than a round trip between regions under load.
    private static final long PULL_TIMEOUT_MS = 250;
    private static final int MAXIMUM_TRIES = 4;

    private final Map<EntryKey, PendingPull> pulls = new HashMap<>();

    /** Records a pull. Returns false if the same or a newer version is on its way. */
    boolean begin(final EntryStamp stamp, final NodeAddress peer, final long nowMs) {
        PendingPull present = pulls.get(stamp.key());
        if (present != null && !stamp.isNewerThan(present.stamp())) {
            return false;
        }
        pulls.put(stamp.key(), new PendingPull(stamp, peer, 1, nowMs + PULL_TIMEOUT_MS));
        return true;
    }

    /** Ends the pull of an entry that arrived, unless a newer version is pulled. */
    void end(final EntryStamp arrived) {
        PendingPull present = pulls.get(arrived.key());
        if (present != null && !present.stamp().isNewerThan(arrived)) {
            pulls.remove(arrived.key());
        }
    }

    /** Returns the keys to ask for again, by the peer that offered them, and gives up those tried often enough. */
    Map<NodeAddress, List<EntryKey>> overdue(final long nowMs) {
        Map<NodeAddress, List<EntryKey>> overdue = new HashMap<>();
        pulls.values().removeIf(pull -> pull.retryAtMs() <= nowMs && pull.tries() >= MAXIMUM_TRIES);
        pulls.replaceAll((key, pull) -> {
            if (pull.retryAtMs() > nowMs) {
                return pull;
            }
            overdue.computeIfAbsent(pull.peer(), peer -> new ArrayList<>()).add(key);
            return new PendingPull(pull.stamp(), pull.peer(), pull.tries() + 1, nowMs + PULL_TIMEOUT_MS);
        });
        return overdue;
    }

    /** A version that was pulled and has not arrived. Immutable and thread-safe. */
    private record PendingPull(EntryStamp stamp, NodeAddress peer, int tries, long retryAtMs) {}
}
