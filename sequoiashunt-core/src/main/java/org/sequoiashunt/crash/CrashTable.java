package org.sequoiashunt.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.sequoiashunt.fleet.CrashRecord;
import org.sequoiashunt.time.Clock;

/**
 * Holds which requests were at work at targets that crashed, on any node, and decides which of them are quarantined.
 *
 * <p>Every request at work at a target that crashes becomes a suspect, as any of them may be the cause. A request that
 * causes crashes is never answered, so an answer clears a suspect. A request that was at work in
 * {@link #CRASHES_TO_QUARANTINE} crashes without an answer since is quarantined: it is refused for a time that doubles
 * with each further crash. After that time it may run again; an answer clears it. The quarantine begins a little after
 * the last of these crashes: many callers send the same frequent request, which is at work at several targets that
 * crash together, and is answered elsewhere meanwhile.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: the number of requests and of crashes of each is bounded;
 * entries expire.
 */
public final class CrashTable {

    /** Crashes after which chance is no explanation: requests that are not the cause are answered in between. */
    static final int CRASHES_TO_QUARANTINE = 3;

    /** Time after the last of these crashes in which answers of other nodes become known. */
    static final long ANSWER_DELAY_MS = 2_000;

    /** First duration of a quarantine. */
    static final long QUARANTINE_MS = 120_000;

    static final long MAXIMUM_QUARANTINE_MS = 1_800_000;

    /** How long a suspect that is not quarantined is remembered: the request may come again after a pause. */
    static final long SUSPECT_RETENTION_MS = 600_000;

    /** Time for which events of this node are reported to other nodes; reports arrive within seconds. */
    static final long REPORTING_MS = 20_000;

    private static final int MAXIMUM_SUSPECTS = 1_024;
    private static final int MAXIMUM_CRASHES = 8;
    private static final int MAXIMUM_REPORTED_RECORDS = 64;

    private final Clock clock;
    private final Map<String, Suspect> suspects = new LinkedHashMap<>();
    private volatile boolean empty = true;

    /**
     * Creates an empty table.
     *
     * @param clock the clock, not null.
     */
    public CrashTable(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Returns whether no request is a suspect, which is the usual case. Does not block.
     *
     * @return true if {@link #quarantineLeftMs} returns zero for every request.
     */
    public boolean isEmpty() {
        return empty;
    }

    /**
     * Records that requests were at work at a target of this node when it crashed.
     *
     * @param fingerprints the requests, not null.
     * @param incident identifies the crash, not empty.
     */
    public void recordCrash(final Collection<String> fingerprints, final String incident) {
        fingerprints.forEach(fingerprint -> add(new CrashRecord(fingerprint, incident, 0), true));
    }

    /**
     * Records that a target of this node has answered a request. Ignored unless the request is a suspect.
     *
     * @param fingerprint the request, not null.
     */
    public void recordAnswer(final String fingerprint) {
        add(new CrashRecord(fingerprint, "", 0), true);
    }

    /**
     * Adds the records of another node.
     *
     * @param records the records, not null.
     */
    public void merge(final Collection<CrashRecord> records) {
        records.forEach(crashRecord -> add(crashRecord, false));
    }

    private synchronized void add(final CrashRecord added, final boolean ownEvent) {
        long nowMs = clock.nowMs();
        long atMs = nowMs - added.ageMs();
        Suspect suspect = suspects.get(added.fingerprint());
        if (suspect == null) {
            if (added.isAnswer() || added.ageMs() > MAXIMUM_QUARANTINE_MS) {
                return;
            }
            makeRoom(nowMs);
            suspect = new Suspect();
            suspects.put(added.fingerprint(), suspect);
            empty = false;
        }
        if (added.isAnswer()) {
            suspect.answeredMs = Math.max(suspect.answeredMs, atMs);
        } else {
            suspect.addCrash(added.incident(), atMs);
        }
        if (ownEvent) {
            suspect.ownEventMs = atMs;
        }
    }

    private void makeRoom(final long nowMs) {
        suspects.values().removeIf(suspect -> suspect.isExpired(nowMs));
        Iterator<Suspect> oldest = suspects.values().iterator();
        while (suspects.size() >= MAXIMUM_SUSPECTS) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Removes expired entries; call it from time to time. */
    public synchronized void expire() {
        long nowMs = clock.nowMs();
        suspects.values().removeIf(suspect -> suspect.isExpired(nowMs));
        empty = suspects.isEmpty();
    }

    /**
     * Returns how long a request is still quarantined.
     *
     * @param fingerprint the request, not null.
     * @return the time in milliseconds, zero if it may run.
     */
    public synchronized long quarantineLeftMs(final String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect == null ? 0 : suspect.quarantineLeftMs(clock.nowMs());
    }

    /**
     * Lists the records to report to other nodes: the recent events of this node, and all of quarantined requests, so
     * that a node that has restarted learns of them from any other.
     *
     * @return the records, at most {@value #MAXIMUM_REPORTED_RECORDS}, never null.
     */
    public synchronized List<CrashRecord> records() {
        if (suspects.isEmpty()) {
            return List.of();
        }
        long nowMs = clock.nowMs();
        List<CrashRecord> records = new ArrayList<>();
        suspects.forEach((fingerprint, suspect) -> {
            boolean recent = nowMs - suspect.ownEventMs <= REPORTING_MS;
            if (recent || suspect.quarantineEndMs() > nowMs) {
                suspect.crashesMs.forEach(
                        (incident, atMs) -> records.add(new CrashRecord(fingerprint, incident, nowMs - atMs)));
                if (suspect.answeredMs != Suspect.NEVER) {
                    records.add(new CrashRecord(fingerprint, "", nowMs - suspect.answeredMs));
                }
            }
        });
        return records.stream()
                .sorted(Comparator.comparingLong(CrashRecord::ageMs))
                .limit(MAXIMUM_REPORTED_RECORDS)
                .toList();
    }

    /** The crashes and the latest answer of a request. Guarded by the monitor of the table. */
    private static final class Suspect {

        private static final long NEVER = Long.MIN_VALUE / 2;

        private final Map<String, Long> crashesMs = new LinkedHashMap<>();
        private long answeredMs = NEVER;
        private long ownEventMs = NEVER;

        private void addCrash(final String incident, final long atMs) {
            crashesMs.putIfAbsent(incident, atMs);
            if (crashesMs.size() > MAXIMUM_CRASHES) {
                crashesMs.remove(crashesMs.entrySet().stream()
                        .min(Map.Entry.comparingByValue())
                        .orElseThrow()
                        .getKey());
            }
        }

        private List<Long> crashesSinceAnswerMs() {
            return crashesMs.values().stream()
                    .filter(atMs -> atMs > answeredMs)
                    .sorted()
                    .toList();
        }

        private long latestMs() {
            return crashesMs.values().stream().mapToLong(Long::longValue).max().orElse(NEVER);
        }

        private long quarantineLeftMs(final long nowMs) {
            List<Long> crashes = crashesSinceAnswerMs();
            if (crashes.size() < CRASHES_TO_QUARANTINE
                    || nowMs - crashes.get(CRASHES_TO_QUARANTINE - 1) < ANSWER_DELAY_MS) {
                return 0;
            }
            return Math.max(0, quarantineEndMs() - nowMs);
        }

        private long quarantineEndMs() {
            List<Long> crashes = crashesSinceAnswerMs();
            int furtherCrashes = crashes.size() - CRASHES_TO_QUARANTINE;
            if (furtherCrashes < 0) {
                return NEVER;
            }
            return latestMs() + Math.min(MAXIMUM_QUARANTINE_MS, QUARANTINE_MS << furtherCrashes);
        }

        private boolean isExpired(final long nowMs) {
            long endMs = Math.max(latestMs(), quarantineEndMs());
            return nowMs - endMs > SUSPECT_RETENTION_MS;
        }
    }
}
