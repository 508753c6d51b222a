package org.sequoiashunt.execution;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.gate.Admission;
import org.sequoiashunt.gate.CrashPolicy;
import org.sequoiashunt.time.Clock;

/**
 * Keeps a request that crashes its target from crashing others.
 *
 * <p>Every request in flight on a target that dies becomes a suspect: it was the cause or merely there. A suspect's
 * resend runs alone on its target. If it ends, it is cleared; if the target dies again, nothing else can have been the
 * cause, and the request is quarantined on every node until that expires. A crash in company never quarantines, so no
 * bystander is refused, however many targets die around it.
 *
 * <p>Use at the gate: {@link #admit} before a request is queued, {@link #ended} after it ran. Use at the entry: send a
 * retry only as {@link #retryHeaders} allows, since the gate chosen next may not have heard of the crash.
 *
 * <p>Thread-safe: the state lies on the blackboard, and the count of new suspects has a lock of its own. Invariant: a
 * quarantined request stays so until it expires.
 */
public final class CrashTracker implements Controller, CrashPolicy {

    /** Header by which an entry tells the gate that a request may have crashed a target; callers must not set it. */
    public static final String SUSPECT_HEADER = "Sequoiashunt-Suspect";

    /** How long a suspect is remembered. */
    public static final long SUSPECT_RETENTION_MS = 600_000;

    /** How long a quarantined request is refused. */
    public static final long QUARANTINE_MS = 1_800_000;

    /** New suspects that one node replicates in a minute; a target that dies often must not fill every node. */
    static final int SUSPECTS_PER_MINUTE = 60;

    private static final long MINUTE_MS = 60_000;
    private static final int CLEARED = 0;
    private static final int SUSPECT = 1;
    private static final int QUARANTINED = 2;

    private final String node;
    private final Blackboard blackboard;
    private final Clock clock;
    private final Object suspectCountLock = new Object();
    private long minuteStartMs;
    private int suspectsInMinute;
    private volatile CachedEmptiness cachedEmptiness = new CachedEmptiness(-1, true);

    /**
     * Creates a tracker.
     *
     * @param node the name of this node, not null.
     * @param blackboard where suspects and quarantined requests replicate, not null.
     * @param clock the time, not null.
     */
    public CrashTracker(final String node, final Blackboard blackboard, final Clock clock) {
        this.node = Objects.requireNonNull(node, "node");
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.minuteStartMs = clock.nowMs();
    }

    /** Removes what has expired. */
    @Override
    public void tick() {
        long nowMs = clock.nowMs();
        blackboard.entries(Section.QUARANTINE).stream()
                .filter(entry -> ((QuarantinedRequest) entry.value()).expiresMs() <= nowMs)
                .forEach(entry -> blackboard.remove(entry.key(), entry.version()));
    }

    /** Nothing is computed while no suspect is known. */
    @Override
    public Admission admit(final CallRequest request) {
        boolean markedAsSuspect = hasSuspectHeader(request);
        if (hasNoEntries()) {
            return markedAsSuspect ? Admission.ALONE : Admission.NORMAL;
        }
        int crashCount = crashCount(RequestFingerprint.of(request));
        if (crashCount >= QUARANTINED) {
            return Admission.REFUSE;
        }
        return markedAsSuspect || crashCount == SUSPECT ? Admission.ALONE : Admission.NORMAL;
    }

    @Override
    public void ended(final CallRequest request, final CallResult result, final boolean ranAlone) {
        if (isCrash(result)) {
            recordCrash(RequestFingerprint.of(request), ranAlone && admit(request) == Admission.ALONE);
        } else if (ranAlone && result.outcome() == Outcome.COMPLETE && !hasNoEntries()) {
            clearSuspect(RequestFingerprint.of(request));
        }
    }

    /**
     * Tells an entry how it may retry an attempt that its caller's route allows to retry.
     *
     * @param request the attempt that ended, not null.
     * @param result how it ended, not null.
     * @return the headers for the next attempt, or empty if there must be none, since the request was refused as
     *     quarantined or has now failed on two targets.
     */
    public static Optional<List<HeaderField>> retryHeaders(final CallRequest request, final CallResult result) {
        if (result.reason() == Reason.QUARANTINED || isCrash(result) && hasSuspectHeader(request)) {
            return Optional.empty();
        }
        List<HeaderField> headers = new ArrayList<>(request.headers());
        if (isCrash(result)) {
            headers.add(new HeaderField(SUSPECT_HEADER, "1"));
        }
        return Optional.of(headers);
    }

    private static boolean isCrash(final CallResult result) {
        return result.outcome() == Outcome.UNKNOWN && result.reason() == Reason.CONNECTION_FAILED;
    }

    private static boolean hasSuspectHeader(final CallRequest request) {
        return request.headers().stream().anyMatch(header -> header.name().equalsIgnoreCase(SUSPECT_HEADER));
    }

    private void recordCrash(final String fingerprint, final boolean ranAlone) {
        long nowMs = clock.nowMs();
        if (ranAlone) {
            writeEntry(new QuarantinedRequest(fingerprint, QUARANTINED, nowMs + QUARANTINE_MS), nowMs);
        } else if (crashCount(fingerprint) < SUSPECT && mayAddSuspect(nowMs)) {
            writeEntry(new QuarantinedRequest(fingerprint, SUSPECT, nowMs + SUSPECT_RETENTION_MS), nowMs);
        }
    }

    private void clearSuspect(final String fingerprint) {
        if (crashCount(fingerprint) == SUSPECT) {
            long nowMs = clock.nowMs();
            writeEntry(new QuarantinedRequest(fingerprint, CLEARED, nowMs + SUSPECT_RETENTION_MS), nowMs);
        }
    }

    /** A quarantine replaces everything else; among suspicion and clearance the later one stays. */
    private void writeEntry(final QuarantinedRequest request, final long nowMs) {
        int rank = request.crashes() >= QUARANTINED ? 1 : 0;
        long timeMs = currentVersion(request.fingerprint())
                .filter(version -> version.major() == rank)
                .map(version -> Math.max(nowMs, version.minor() + 1))
                .orElse(nowMs);
        blackboard.merge(Entry.of(request.fingerprint(), node, EntryVersion.of(rank, timeMs), request));
    }

    private Optional<EntryVersion> currentVersion(final String fingerprint) {
        return blackboard.find(EntryKey.of(Section.QUARANTINE, fingerprint)).map(Entry::version);
    }

    private int crashCount(final String fingerprint) {
        return blackboard
                .value(Section.QUARANTINE, fingerprint, QuarantinedRequest.class)
                .filter(present -> present.expiresMs() > clock.nowMs())
                .map(QuarantinedRequest::crashes)
                .orElse(CLEARED);
    }

    private boolean mayAddSuspect(final long nowMs) {
        synchronized (suspectCountLock) {
            if (nowMs - minuteStartMs >= MINUTE_MS) {
                minuteStartMs = nowMs;
                suspectsInMinute = 0;
            }
            suspectsInMinute++;
            return suspectsInMinute <= SUSPECTS_PER_MINUTE;
        }
    }

    private boolean hasNoEntries() {
        long changeCount = blackboard.changeCount(Section.QUARANTINE);
        CachedEmptiness cached = cachedEmptiness;
        if (cached.changeCount != changeCount) {
            cached = new CachedEmptiness(
                    changeCount, blackboard.entries(Section.QUARANTINE).isEmpty());
            cachedEmptiness = cached;
        }
        return cached.empty;
    }

    /** Whether the section was empty at a change count. Immutable. */
    private record CachedEmptiness(long changeCount, boolean empty) {}
}
