package org.sequoiashunt.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.time.Clock;

/**
 * Tells crashes of this node's targets from lost connections, and names the requests that were at work.
 *
 * <p>A target that crashes breaks all its connections at once; then either nothing accepts connections at its address,
 * or a new incarnation announces itself there. A target that answers a request sent after the connections broke has not
 * crashed.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: a crash of an incarnation is reported under one identity; the
 * requests of a crash and the time for which lost connections are remembered are bounded.
 */
public final class TargetCrashDetector {

    /** Longest time between the first and the last connection that a crash breaks. */
    static final long SAME_CRASH_MS = 500;

    /** Longest time until a crash is confirmed: targets are back after some seconds. */
    static final long CONFIRMATION_MS = 10_000;

    private static final int MAXIMUM_REQUESTS = 64;

    private final Clock clock;
    private final Map<NodeAddress, LostConnections> lostByAddress = new HashMap<>();

    /**
     * Creates a detector.
     *
     * @param clock the clock, not null.
     */
    public TargetCrashDetector(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Records that the connection of a request broke before the answer.
     *
     * @param target the target, not null.
     * @param fingerprint the request, not null.
     * @return the crash if it is confirmed already, otherwise empty.
     */
    public synchronized Optional<Crash> recordLost(final TargetAnnouncement target, final String fingerprint) {
        long nowMs = clock.nowMs();
        lostByAddress.values().removeIf(lost -> nowMs - lost.sinceMs > CONFIRMATION_MS);
        LostConnections lost = lostByAddress.get(target.address());
        if (lost == null || !lost.isOf(target) || nowMs - lost.sinceMs > SAME_CRASH_MS) {
            lost = new LostConnections(target, nowMs);
            lostByAddress.put(target.address(), lost);
        }
        if (lost.fingerprints.size() < MAXIMUM_REQUESTS) {
            lost.fingerprints.add(fingerprint);
        }
        return lost.confirmed ? Optional.of(lost.crash(List.of(fingerprint))) : Optional.empty();
    }

    /**
     * Records that no connection to a target could be opened.
     *
     * @param target the target, not null.
     * @return the crash if this confirms one, otherwise empty.
     */
    public synchronized Optional<Crash> recordUnreachable(final TargetAnnouncement target) {
        return confirm(lostByAddress.get(target.address()), true);
    }

    /**
     * Records that a target has joined, which confirms a crash if another incarnation lost connections at its address.
     *
     * @param target the target, not null.
     * @return the crash if this confirms one, otherwise empty.
     */
    public synchronized Optional<Crash> recordJoined(final TargetAnnouncement target) {
        LostConnections lost = lostByAddress.get(target.address());
        return confirm(lost, lost != null && !lost.isOf(target));
    }

    private Optional<Crash> confirm(final LostConnections lost, final boolean isCrash) {
        if (lost == null || !isCrash || lost.confirmed || clock.nowMs() - lost.sinceMs > CONFIRMATION_MS) {
            return Optional.empty();
        }
        lost.confirmed = true;
        return Optional.of(lost.crash(lost.fingerprints));
    }

    /**
     * Records that a target has answered a request.
     *
     * @param target the target, not null.
     * @param sentMs when the request was sent, in milliseconds of the local clock.
     */
    public synchronized void recordAnswer(final TargetAnnouncement target, final long sentMs) {
        LostConnections lost = lostByAddress.get(target.address());
        if (lost != null && !lost.confirmed && lost.isOf(target) && sentMs > lost.sinceMs) {
            lostByAddress.remove(target.address());
        }
    }

    /**
     * A crash of a target. Immutable and thread-safe.
     *
     * @param incident identifies the crash among those of all targets, not empty.
     * @param fingerprints the requests that were at work, not null.
     */
    public record Crash(String incident, Collection<String> fingerprints) {

        /** Copies the requests. */
        public Crash {
            fingerprints = List.copyOf(fingerprints);
        }
    }

    /** Connections of one incarnation that broke together. Guarded by the monitor of the detector. */
    private static final class LostConnections {

        private final TargetAnnouncement target;
        private final long sinceMs;
        private final Set<String> fingerprints = new LinkedHashSet<>();
        private boolean confirmed;

        private LostConnections(final TargetAnnouncement target, final long sinceMs) {
            this.target = target;
            this.sinceMs = sinceMs;
        }

        private boolean isOf(final TargetAnnouncement other) {
            return target.target().equals(other.target()) && target.startedAtMs() == other.startedAtMs();
        }

        private Crash crash(final Collection<String> atWork) {
            return new Crash(target.target() + "@" + target.startedAtMs(), atWork);
        }
    }
}
