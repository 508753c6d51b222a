package org.sequoiashunt.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiashunt.time.Clock;

/**
 * The targets of this node, as their own announcements tell.
 *
 * <p>Announcements may arrive late or out of order: the time of start orders the incarnations of a target, a sequence
 * number the announcements within one. A late announcement never revives an earlier incarnation, nor a target that has
 * left.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: at most one target per address; what has left stays left
 * until a later incarnation announces itself; the memory of departures is bounded in time and number.
 */
public final class TargetRegistry {

    /** Longer than any announcement is delayed. */
    static final long DEPARTURE_MEMORY_MS = 600_000;

    /** Targets that miss this many announcements in a row are no longer offered work. */
    static final int MISSED_ANNOUNCEMENTS = 4;

    /** How long an announcement may arrive after its target has left: announcements are seconds late at most. */
    static final long LATE_ANNOUNCEMENT_MS = 10_000;

    /** Sequence number of the first announcement of an incarnation. */
    private static final long FIRST_SEQUENCE = 1;

    private static final int MAXIMUM_DEPARTURES = 1_024;
    private static final int MAXIMUM_TARGETS = 64;

    private final Clock clock;
    private final long silenceLimitMs;
    private final Map<String, TrackedTarget> standings = new HashMap<>();
    private final Map<String, Departure> departures = new HashMap<>();
    private final Map<String, Long> strangersLeftMs = new HashMap<>();

    /**
     * Creates an empty register.
     *
     * @param clock the clock, not null.
     * @param announcementPeriodMs the time between two announcements, in milliseconds, positive.
     */
    public TargetRegistry(final Clock clock, final long announcementPeriodMs) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.silenceLimitMs = announcementPeriodMs * MISSED_ANNOUNCEMENTS;
    }

    /**
     * Takes an announcement.
     *
     * @param announcement the announcement, not null.
     * @return how it changed the register, never null.
     */
    public synchronized Change announce(final TargetAnnouncement announcement) {
        long nowMs = clock.nowMs();
        Departure departure = departures.get(announcement.target());
        if (departure != null && announcement.bornMs() <= departure.bornMs()) {
            return Change.OUTDATED;
        }
        if (hasLeftAsStranger(announcement, nowMs)) {
            return Change.OUTDATED;
        }
        TrackedTarget known = standings.get(announcement.target());
        if (known != null && isOutdated(announcement, known.announcement())) {
            return Change.OUTDATED;
        }
        if (isDisplaced(announcement)) {
            return Change.OUTDATED;
        }
        boolean restarted = known != null && known.announcement().bornMs() < announcement.bornMs();
        boolean leaving = announcement.leaving()
                || known != null && !restarted && known.announcement().leaving();
        removeOthersAt(announcement);
        if (standings.size() >= MAXIMUM_TARGETS && known == null) {
            return Change.OUTDATED;
        }
        standings.put(announcement.target(), new TrackedTarget(withLeaving(announcement, leaving), nowMs));
        return changeOf(known, restarted, leaving);
    }

    private static Change changeOf(final TrackedTarget known, final boolean restarted, final boolean leaving) {
        if (known == null || restarted) {
            return leaving ? Change.LEAVING : Change.JOINED;
        }
        boolean wasLeaving = known.announcement().leaving();
        return leaving && !wasLeaving ? Change.LEAVING : Change.REFRESHED;
    }

    private static TargetAnnouncement withLeaving(final TargetAnnouncement announcement, final boolean leaving) {
        if (announcement.leaving() == leaving) {
            return announcement;
        }
        return new TargetAnnouncement(
                announcement.target(),
                announcement.address(),
                announcement.service(),
                announcement.version(),
                announcement.slots(),
                leaving,
                announcement.bornMs(),
                announcement.sequence(),
                announcement.warmupLeftMs());
    }

    private static boolean isOutdated(final TargetAnnouncement announcement, final TargetAnnouncement known) {
        if (announcement.bornMs() != known.bornMs()) {
            return announcement.bornMs() < known.bornMs();
        }
        return announcement.sequence() <= known.sequence();
    }

    /** Another target that started later holds the address. */
    private boolean isDisplaced(final TargetAnnouncement announcement) {
        return standings.values().stream()
                .map(TrackedTarget::announcement)
                .anyMatch(other -> !other.target().equals(announcement.target())
                        && other.address().equals(announcement.address())
                        && other.bornMs() > announcement.bornMs());
    }

    private void removeOthersAt(final TargetAnnouncement announcement) {
        List<TargetAnnouncement> displaced = standings.values().stream()
                .map(TrackedTarget::announcement)
                .filter(other -> !other.target().equals(announcement.target())
                        && other.address().equals(announcement.address()))
                .toList();
        displaced.forEach(other -> depart(other.target(), other.bornMs()));
    }

    /**
     * Takes a target's word that it leaves for good.
     *
     * @param target the identity, not null.
     * @param bornMs the start of the incarnation that leaves, or empty for the one that is known.
     * @return the announcement of the target that left, or empty if none was known or a later one has started.
     */
    public synchronized Optional<TargetAnnouncement> leave(final String target, final OptionalLong bornMs) {
        TrackedTarget known = standings.get(target);
        if (known == null) {
            bornMs.ifPresentOrElse(born -> depart(target, born), () -> noteStranger(target));
            return Optional.empty();
        }
        if (bornMs.isPresent() && bornMs.getAsLong() < known.announcement().bornMs()) {
            return Optional.empty();
        }
        depart(target, known.announcement().bornMs());
        return Optional.of(known.announcement());
    }

    /** A target that leaves before this node, just started, has heard of it does not tell its incarnation. */
    private void noteStranger(final String target) {
        long nowMs = clock.nowMs();
        strangersLeftMs.values().removeIf(leftMs -> nowMs - leftMs > LATE_ANNOUNCEMENT_MS);
        if (strangersLeftMs.size() < MAXIMUM_DEPARTURES) {
            strangersLeftMs.put(target, nowMs);
        }
    }

    private boolean hasLeftAsStranger(final TargetAnnouncement announcement, final long nowMs) {
        Long leftMs = strangersLeftMs.get(announcement.target());
        return leftMs != null
                && nowMs - leftMs <= LATE_ANNOUNCEMENT_MS
                && announcement.sequence() > FIRST_SEQUENCE
                && !standings.containsKey(announcement.target());
    }

    private void depart(final String target, final long bornMs) {
        standings.remove(target);
        long nowMs = clock.nowMs();
        Iterator<Departure> remembered = departures.values().iterator();
        while (remembered.hasNext()) {
            boolean expired = nowMs - remembered.next().atMs() > DEPARTURE_MEMORY_MS;
            if (expired || departures.size() > MAXIMUM_DEPARTURES) {
                remembered.remove();
            }
        }
        departures.put(target, new Departure(bornMs, nowMs));
    }

    /**
     * Lists the targets that have announced themselves lately and do not leave.
     *
     * @return the announcements, never null.
     */
    public synchronized List<TargetAnnouncement> accepting() {
        long oldestMs = clock.nowMs() - silenceLimitMs;
        List<TargetAnnouncement> accepting = new ArrayList<>();
        for (TrackedTarget standing : standings.values()) {
            if (!standing.announcement().leaving() && standing.atMs() >= oldestMs) {
                accepting.add(standing.announcement());
            }
        }
        return accepting;
    }

    /** How an announcement changed the register. Immutable and thread-safe. */
    public enum Change {
        /** A target or a new incarnation of one takes work. */
        JOINED,
        /** A target that was known has announced itself again. */
        REFRESHED,
        /** A target takes no more new work. */
        LEAVING,
        /** The announcement came late and changed nothing. */
        OUTDATED
    }

    /** A target and when it was last heard of. Immutable and thread-safe. */
    private record TrackedTarget(TargetAnnouncement announcement, long atMs) {}

    /** An incarnation that has left. Immutable and thread-safe. */
    private record Departure(long bornMs, long atMs) {}
}
