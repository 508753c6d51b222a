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
 * Measures on the local clock how long each suspicion has stood unrefuted. Removes refuted ones from the blackboard.
 *
 * <p>Confined to one thread. Invariant: a suspicion expires no earlier than the time allowed after this node learned of
 * it, so that clocks of other nodes do not matter.
 */
final class SuspicionTimers {

    private final Blackboard blackboard;
    private final long suspicionMs;
    private final Map<String, StartedSuspicion> started = new HashMap<>();

    SuspicionTimers(final Blackboard blackboard, final long suspicionMs) {
        this.blackboard = blackboard;
        this.suspicionMs = suspicionMs;
    }

    /** Takes over new suspicions and drops refuted ones. Returns true if one expired since the last call. */
    boolean refresh(final long nowMs) {
        started.keySet()
                .removeIf(member ->
                        blackboard.find(EntryKey.of(Section.SUSPICION, member)).isEmpty());
        boolean expired = false;
        for (Entry suspicion : blackboard.entries(Section.SUSPICION)) {
            if (isSettled(suspicion)) {
                blackboard.remove(suspicion.key(), suspicion.version());
                started.remove(suspicion.key().name());
            } else {
                expired |= advance(suspicion, nowMs);
            }
        }
        return expired;
    }

    /** Gives every suspected member the whole time again. */
    void restart(final long nowMs) {
        started.replaceAll((member, timer) -> new StartedSuspicion(timer.version(), nowMs, false));
    }

    boolean isSuspected(final String member) {
        return started.containsKey(member);
    }

    boolean isExpired(final String member) {
        StartedSuspicion timer = started.get(member);
        return timer != null && timer.expired();
    }

    private boolean advance(final Entry suspicion, final long nowMs) {
        String member = suspicion.key().name();
        StartedSuspicion timer = started.get(member);
        if (timer == null || suspicion.version().isNewerThan(timer.version())) {
            started.put(member, new StartedSuspicion(suspicion.version(), nowMs, false));
            return false;
        }
        if (timer.expired() || nowMs - timer.sinceMs() < suspicionMs) {
            return false;
        }
        started.put(member, new StartedSuspicion(timer.version(), timer.sinceMs(), true));
        return true;
    }

    private boolean isSettled(final Entry suspicion) {
        String member = suspicion.key().name();
        Optional<Entry> departure = blackboard.find(EntryKey.of(Section.DEPARTURE, member));
        if (departure.isPresent()
                && !suspicion.version().isNewerThan(departure.get().version())) {
            return true;
        }
        Optional<Entry> own = blackboard.find(EntryKey.of(Section.MEMBER, member));
        return own.isPresent() && own.get().version().isNewerThan(suspicion.version());
    }

    /** Since when a suspicion has stood. Immutable and thread-safe. */
    private record StartedSuspicion(EntryVersion version, long sinceMs, boolean expired) {}
}
