package org.sequoiashunt.target;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiashunt.time.Clock;

/**
 * Tracks the targets of this node from their announcements.
 *
 * <p>Announcements may arrive late or out of order. The start time orders the incarnations of a target, and a sequence
 * number orders the announcements of one incarnation. A late announcement never restores an earlier incarnation or a
 * target that has left.
 *
 * <p>A process that has just started does not know which targets have left. Until the departures that the process
 * before it acknowledged are restored, a target that may have left is held until its second announcement, which shows
 * that it still runs.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: at most one target per address; a target that has left stays
 * removed until a later incarnation announces itself; departures are kept for a bounded time and in bounded number.
 */
public final class TargetRegistry {

    /** Time for which departures are kept: longer than any announcement is delayed. */
    static final long DEPARTURE_RETENTION_MS = 600_000;

    /** Number of announcement periods without an announcement after which a target gets no requests. */
    static final int MISSED_ANNOUNCEMENT_LIMIT = 4;

    /**
     * Time for which late announcements are expected after an unknown target has left: announcements are seconds late
     * at most.
     */
    static final long MAXIMUM_ANNOUNCEMENT_DELAY_MS = 10_000;

    /** Sequence number of the first announcement of an incarnation. */
    private static final long FIRST_SEQUENCE = 1;

    private static final int MAXIMUM_DEPARTURES = 1_024;
    private static final int MAXIMUM_TARGETS = 64;

    private final Clock clock;
    private final long announcementPeriodMs;
    private final long silenceTimeoutMs;
    private final Map<String, TrackedTarget> trackedTargets = new HashMap<>();
    private final Map<String, Departure> departures = new HashMap<>();
    private final Map<String, Long> unknownTargetDeparturesMs = new HashMap<>();
    private final Map<String, TrackedTarget> heldTargets = new HashMap<>();
    private boolean departuresKnown;

    /**
     * Creates an empty registry that holds targets until {@link #completeDepartures} is called.
     *
     * @param clock the clock, not null.
     * @param announcementPeriodMs the time between two announcements, in milliseconds, positive.
     */
    public TargetRegistry(final Clock clock, final long announcementPeriodMs) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.announcementPeriodMs = announcementPeriodMs;
        this.silenceTimeoutMs = announcementPeriodMs * MISSED_ANNOUNCEMENT_LIMIT;
    }

    /**
     * Applies an announcement.
     *
     * @param announcement the announcement, not null.
     * @return how the announcement changed the registry, never null.
     */
    public synchronized Change announce(final TargetAnnouncement announcement) {
        long nowMs = clock.nowMs();
        Departure departure = departures.get(announcement.target());
        if (departure != null && announcement.startedAtMs() <= departure.startedAtMs()) {
            return Change.OUTDATED;
        }
        if (departedWhileUnknown(announcement, nowMs)) {
            return Change.OUTDATED;
        }
        TrackedTarget tracked = trackedTargets.get(announcement.target());
        if (tracked != null && isOutdated(announcement, tracked.announcement())) {
            return Change.OUTDATED;
        }
        if (isAddressHeldByLaterTarget(announcement)) {
            return Change.OUTDATED;
        }
        if (tracked == null && mustHold(announcement, nowMs)) {
            return Change.HELD;
        }
        boolean restarted = tracked != null && tracked.announcement().startedAtMs() < announcement.startedAtMs();
        boolean leaving = announcement.leaving()
                || tracked != null && !restarted && tracked.announcement().leaving();
        removeOthersAtAddress(announcement);
        if (trackedTargets.size() >= MAXIMUM_TARGETS && tracked == null) {
            return Change.OUTDATED;
        }
        trackedTargets.put(announcement.target(), new TrackedTarget(withLeaving(announcement, leaving), nowMs));
        return changeFrom(tracked, restarted, leaving);
    }

    /**
     * Returns whether an announcement may be a late one of a target that has left. The first announcement of an
     * incarnation and one that leaves are not held.
     */
    private boolean mustHold(final TargetAnnouncement announcement, final long nowMs) {
        if (departuresKnown || announcement.leaving() || announcement.sequence() <= FIRST_SEQUENCE) {
            return false;
        }
        TrackedTarget held = heldTargets.get(announcement.target());
        if (held != null && held.announcement().startedAtMs() == announcement.startedAtMs()) {
            boolean stillRuns = announcement.sequence() > held.announcement().sequence()
                    && nowMs - held.announcedAtMs() >= announcementPeriodMs / 2;
            if (stillRuns) {
                heldTargets.remove(announcement.target());
            }
            return !stillRuns;
        }
        if (heldTargets.size() < MAXIMUM_TARGETS) {
            heldTargets.put(announcement.target(), new TrackedTarget(announcement, nowMs));
        }
        return true;
    }

    /**
     * Restores departures that an earlier process of this node has acknowledged.
     *
     * @param restored the departures, not null.
     */
    public synchronized void restoreDepartures(final Collection<TargetDeparture> restored) {
        for (TargetDeparture departure : restored) {
            TrackedTarget tracked = trackedTargets.get(departure.target());
            if (departure.startedAtMs().isEmpty()) {
                if (tracked == null) {
                    recordUnknownTargetDeparture(departure.target());
                }
                continue;
            }
            long startedAtMs = departure.startedAtMs().getAsLong();
            Departure known = departures.get(departure.target());
            boolean isLatest = known == null || known.startedAtMs() < startedAtMs;
            boolean hasRestarted = tracked != null && tracked.announcement().startedAtMs() > startedAtMs;
            if (isLatest && !hasRestarted) {
                removeDeparted(departure.target(), startedAtMs);
            }
        }
    }

    /**
     * Returns whether a target is held because departures are not known.
     *
     * @return true if restored departures would decide about a target.
     */
    public synchronized boolean holdsTargets() {
        return !heldTargets.isEmpty();
    }

    /** Records that all departures of earlier processes have been restored; the held targets join unless they left. */
    public synchronized void completeDepartures() {
        departuresKnown = true;
        List<TrackedTarget> held = List.copyOf(heldTargets.values());
        heldTargets.clear();
        held.forEach(target -> announce(target.announcement()));
    }

    /**
     * Returns the departure of a target.
     *
     * @param target the identity, not null.
     * @return the departure, or empty if the target accepts requests or is not known.
     */
    public synchronized Optional<TargetDeparture> departureOf(final String target) {
        TrackedTarget tracked = trackedTargets.get(target);
        if (tracked != null) {
            return tracked.announcement().leaving()
                    ? Optional.of(new TargetDeparture(
                            target, OptionalLong.of(tracked.announcement().startedAtMs())))
                    : Optional.empty();
        }
        Departure departure = departures.get(target);
        if (departure != null) {
            return Optional.of(new TargetDeparture(target, OptionalLong.of(departure.startedAtMs())));
        }
        return unknownTargetDeparturesMs.containsKey(target)
                ? Optional.of(new TargetDeparture(target, OptionalLong.empty()))
                : Optional.empty();
    }

    private static Change changeFrom(final TrackedTarget tracked, final boolean restarted, final boolean leaving) {
        if (tracked == null || restarted) {
            return leaving ? Change.LEAVING : Change.JOINED;
        }
        boolean wasLeaving = tracked.announcement().leaving();
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
                announcement.startedAtMs(),
                announcement.sequence(),
                announcement.warmupLeftMs());
    }

    private static boolean isOutdated(final TargetAnnouncement announcement, final TargetAnnouncement latest) {
        if (announcement.startedAtMs() != latest.startedAtMs()) {
            return announcement.startedAtMs() < latest.startedAtMs();
        }
        return announcement.sequence() <= latest.sequence();
    }

    /** Returns whether another target that started later is tracked at the same address. */
    private boolean isAddressHeldByLaterTarget(final TargetAnnouncement announcement) {
        return trackedTargets.values().stream()
                .map(TrackedTarget::announcement)
                .anyMatch(other -> !other.target().equals(announcement.target())
                        && other.address().equals(announcement.address())
                        && other.startedAtMs() > announcement.startedAtMs());
    }

    private void removeOthersAtAddress(final TargetAnnouncement announcement) {
        List<TargetAnnouncement> displaced = trackedTargets.values().stream()
                .map(TrackedTarget::announcement)
                .filter(other -> !other.target().equals(announcement.target())
                        && other.address().equals(announcement.address()))
                .toList();
        displaced.forEach(other -> removeDeparted(other.target(), other.startedAtMs()));
    }

    /**
     * Removes a target that has stated that it leaves for good.
     *
     * @param target the identity, not null.
     * @param startedAtMs the start time of the incarnation that leaves, or empty for the tracked incarnation.
     * @return the announcement of the removed target, or empty if the target is not tracked or a later incarnation is.
     */
    public synchronized Optional<TargetAnnouncement> leave(final String target, final OptionalLong startedAtMs) {
        TrackedTarget tracked = trackedTargets.get(target);
        if (tracked == null) {
            startedAtMs.ifPresentOrElse(
                    presentStartedAtMs -> removeDeparted(target, presentStartedAtMs),
                    () -> recordUnknownTargetDeparture(target));
            return Optional.empty();
        }
        if (startedAtMs.isPresent()
                && startedAtMs.getAsLong() < tracked.announcement().startedAtMs()) {
            return Optional.empty();
        }
        removeDeparted(target, tracked.announcement().startedAtMs());
        return Optional.of(tracked.announcement());
    }

    /**
     * Records the departure of a target that is not tracked and did not state its incarnation. This happens if a target
     * leaves just after this node has started, before this node receives an announcement of the target.
     */
    private void recordUnknownTargetDeparture(final String target) {
        long nowMs = clock.nowMs();
        unknownTargetDeparturesMs
                .values()
                .removeIf(departedAtMs -> nowMs - departedAtMs > MAXIMUM_ANNOUNCEMENT_DELAY_MS);
        if (unknownTargetDeparturesMs.size() < MAXIMUM_DEPARTURES) {
            unknownTargetDeparturesMs.put(target, nowMs);
        }
    }

    private boolean departedWhileUnknown(final TargetAnnouncement announcement, final long nowMs) {
        Long departedAtMs = unknownTargetDeparturesMs.get(announcement.target());
        return departedAtMs != null
                && nowMs - departedAtMs <= MAXIMUM_ANNOUNCEMENT_DELAY_MS
                && announcement.sequence() > FIRST_SEQUENCE
                && !trackedTargets.containsKey(announcement.target());
    }

    private void removeDeparted(final String target, final long startedAtMs) {
        trackedTargets.remove(target);
        long nowMs = clock.nowMs();
        Iterator<Departure> iterator = departures.values().iterator();
        while (iterator.hasNext()) {
            boolean expired = nowMs - iterator.next().departedAtMs() > DEPARTURE_RETENTION_MS;
            if (expired || departures.size() > MAXIMUM_DEPARTURES) {
                iterator.remove();
            }
        }
        departures.put(target, new Departure(startedAtMs, nowMs));
    }

    /**
     * Lists the targets that are not leaving and have announced themselves within the silence timeout.
     *
     * @return the latest announcements in no particular order, never null.
     */
    public synchronized List<TargetAnnouncement> acceptingTargets() {
        long oldestMs = clock.nowMs() - silenceTimeoutMs;
        List<TargetAnnouncement> accepting = new ArrayList<>();
        for (TrackedTarget tracked : trackedTargets.values()) {
            if (!tracked.announcement().leaving() && tracked.announcedAtMs() >= oldestMs) {
                accepting.add(tracked.announcement());
            }
        }
        return accepting;
    }

    /** How an announcement changed the registry. Immutable and thread-safe. */
    public enum Change {
        /** A new target or a new incarnation of a target accepts requests. */
        JOINED,
        /** A tracked target has announced itself again. */
        REFRESHED,
        /** The target is not known and may have left; its next announcement shows that it still runs. */
        HELD,
        /** A target has started to leave and accepts no new requests. */
        LEAVING,
        /** The announcement was late, or the registry was full, and no target was added or updated. */
        OUTDATED
    }

    /** A target's latest announcement and when it was received. Immutable and thread-safe. */
    private record TrackedTarget(TargetAnnouncement announcement, long announcedAtMs) {}

    /** Start of an incarnation that has left, and when it left. Immutable and thread-safe. */
    private record Departure(long startedAtMs, long departedAtMs) {}
}
