package org.sequoiashunt.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;

/**
 * Measures on the local clock how long each suspicion has been unrefuted, and removes refuted suspicions from the
 * blackboard.
 *
 * <p>Confined to one thread. Invariant: a suspicion expires no earlier than the time allowed after this node learned of
 * it, so that clocks of other nodes do not matter.
 */
final class SuspicionTimers {

    private final Blackboard blackboard;
    private final long suspicionMs;
    private final Map<String, SuspicionTimer> timers = new HashMap<>();

    SuspicionTimers(final Blackboard blackboard, final long suspicionMs) {
        this.blackboard = blackboard;
        this.suspicionMs = suspicionMs;
    }

    /** Starts timers for new suspicions and drops refuted ones. Returns true if one expired since the last call. */
    boolean refresh(final long nowMs) {
        timers.keySet()
                .removeIf(member ->
                        blackboard.find(EntryKey.of(Section.SUSPICION, member)).isEmpty());
        boolean expired = false;
        for (Entry suspicion : blackboard.entries(Section.SUSPICION)) {
            if (isRefutedOrDeparted(suspicion)) {
                blackboard.remove(suspicion.key(), suspicion.version());
                timers.remove(suspicion.key().name());
            } else {
                expired |= advance(suspicion, nowMs);
            }
        }
        return expired;
    }

    /** Restarts every timer, so that each suspected member has the full time to refute. */
    void restart(final long nowMs) {
        timers.replaceAll((member, timer) -> new SuspicionTimer(timer.version(), nowMs, false));
    }

    boolean isSuspected(final String member) {
        return timers.containsKey(member);
    }

    boolean isExpired(final String member) {
        SuspicionTimer timer = timers.get(member);
        return timer != null && timer.expired();
    }

    private boolean advance(final Entry suspicion, final long nowMs) {
        String member = suspicion.key().name();
        SuspicionTimer timer = timers.get(member);
        if (timer == null || suspicion.version().isNewerThan(timer.version())) {
            timers.put(member, new SuspicionTimer(suspicion.version(), nowMs, false));
            return false;
        }
        if (timer.expired() || nowMs - timer.sinceMs() < suspicionMs) {
            return false;
        }
        timers.put(member, new SuspicionTimer(timer.version(), timer.sinceMs(), true));
        return true;
    }

    private boolean isRefutedOrDeparted(final Entry suspicion) {
        String member = suspicion.key().name();
        Optional<Entry> departure = blackboard.find(EntryKey.of(Section.DEPARTURE, member));
        if (departure.isPresent()
                && !suspicion.version().isNewerThan(departure.get().version())) {
            return true;
        }
        Optional<Entry> own = blackboard.find(EntryKey.of(Section.MEMBER, member));
        return own.isPresent() && own.get().version().isNewerThan(suspicion.version());
    }

    /** Version of a suspicion, when this node first saw it, and whether it expired. Immutable and thread-safe. */
    private record SuspicionTimer(EntryVersion version, long sinceMs, boolean expired) {}
}
