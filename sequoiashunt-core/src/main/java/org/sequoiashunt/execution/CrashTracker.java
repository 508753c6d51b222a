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
 * Detects requests that crash their target and quarantines them, so that a resend does not crash further targets.
 *
 * <p>Every request in flight on a target that crashes becomes a suspect, since any of them may be the cause. The resend
 * of a suspect runs alone on its target. If the resend completes, the suspect is cleared. If the target crashes again,
 * only this request can be the cause, and every node refuses it until the quarantine expires. A crash with several
 * requests in flight never leads to a quarantine, so a harmless request is never refused, however many targets crash
 * while they run it.
 *
 * <p>Use at the gate: call {@link #admit} before a request is queued and {@link #ended} after it ran. Use at the entry:
 * send a retry only with the headers that {@link #retryHeaders} returns, since the crash may not have been replicated
 * to the next gate yet.
 *
 * <p>Thread-safe: the state is stored on the blackboard, and a separate lock guards the count of new suspects.
 * Invariant: a quarantine is never cleared before it expires.
 */
public final class CrashTracker implements Controller, CrashPolicy {

    /** Header with which an entry marks a request that may have crashed a target; callers must not set the header. */
    public static final String SUSPECT_HEADER = "Sequoiashunt-Suspect";

    /** How long a request stays a suspect, or cleared, in milliseconds. */
    public static final long SUSPECT_RETENTION_MS = 600_000;

    /** How long a quarantined request is refused, in milliseconds. */
    public static final long QUARANTINE_MS = 1_800_000;

    /**
     * Maximum number of new suspects per node and minute, so that a target that crashes often does not fill every node.
     */
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
     * @param blackboard the blackboard that replicates suspects and quarantined requests, not null.
     * @param clock the local clock, not null.
     */
    public CrashTracker(final String node, final Blackboard blackboard, final Clock clock) {
        this.node = Objects.requireNonNull(node, "node");
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.minuteStartMs = clock.nowMs();
    }

    /** Removes expired suspects, clearances and quarantines. */
    @Override
    public void tick() {
        long nowMs = clock.nowMs();
        blackboard.entries(Section.QUARANTINE).stream()
                .filter(entry -> ((QuarantinedRequest) entry.value()).expiresMs() <= nowMs)
                .forEach(entry -> blackboard.remove(entry.key(), entry.version()));
    }

    /**
     * {@inheritDoc}
     *
     * <p>Skips the fingerprint of the request while there are no entries, which is the usual case.
     */
    @Override
    public Admission admit(final CallRequest request) {
        boolean markedAsSuspect = hasSuspectHeader(request);
        if (isSectionEmpty()) {
            return markedAsSuspect ? Admission.ALONE : Admission.NORMAL;
        }
        int crashCount = crashCount(RequestFingerprint.of(request));
        if (crashCount >= QUARANTINED) {
            return Admission.REFUSE;
        }
        return markedAsSuspect || crashCount == SUSPECT ? Admission.ALONE : Admission.NORMAL;
    }

    @Override
    public void recordEnd(final CallRequest request, final CallResult result, final boolean ranAlone) {
        if (isCrash(result)) {
            recordCrash(RequestFingerprint.of(request), ranAlone && admit(request) == Admission.ALONE);
        } else if (ranAlone && result.outcome() == Outcome.COMPLETE && !isSectionEmpty()) {
            clearSuspect(RequestFingerprint.of(request));
        }
    }

    /**
     * Returns the headers with which an entry may retry an attempt. The route of the request must allow retries.
     *
     * @param request the attempt that ended, not null.
     * @param result how the attempt ended, not null.
     * @return the headers for the next attempt, or empty if the request must not be retried, since it was refused as
     *     quarantined or has crashed two targets.
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

    /**
     * Writes an entry version such that a quarantine replaces any other state, and the later of the other states wins.
     */
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

    private boolean isSectionEmpty() {
        long changeCount = blackboard.changeCount(Section.QUARANTINE);
        CachedEmptiness cached = cachedEmptiness;
        if (cached.changeCount != changeCount) {
            cached = new CachedEmptiness(
                    changeCount, blackboard.entries(Section.QUARANTINE).isEmpty());
            cachedEmptiness = cached;
        }
        return cached.empty;
    }

    /** Caches whether the section was empty at a change count, so that it is not read for every request. Immutable. */
    private record CachedEmptiness(long changeCount, boolean empty) {}
}
