package org.sequoiashunt.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.time.Clock;

/**
 * Counts the calls of services with a move at this node's gate, and publishes the counts.
 *
 * <p>Give it to the gate as its {@link EvidenceRecorder} and call {@link #tick()} several times a second. It publishes
 * one {@link Evidence} entry per target version and route, at most once a second each and all in one tick, so that the
 * counts of both versions cover the same time, and drops the evidence of services whose move is gone.
 *
 * <p>{@link #record} is thread-safe and does not block: each version and route has counts under a lock of their own.
 * {@link #tick()} is confined to the control thread. Invariant: the sequence of published entries grows over the whole
 * incarnation, also when a service gets a second move.
 */
public final class EvidenceCollector implements EvidenceRecorder, Controller {

    /** Shortest time between two entries for one version and route, in milliseconds. */
    public static final long PUBLISH_INTERVAL_MS = 1_000;

    /** Longest time without an entry, which shows readers that this node is within reach, in milliseconds. */
    public static final long REFRESH_INTERVAL_MS = 5_000;

    private final String node;
    private final long incarnation;
    private final Blackboard blackboard;
    private final ConfiguredMoves moves;
    private final Clock clock;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<Subject, CallCounts> counts = new ConcurrentHashMap<>();
    private final Map<VersionKey, ColdStartDetector> coldStarts = new ConcurrentHashMap<>();
    private final Map<Subject, Publication> published = new HashMap<>();
    private volatile Set<String> movingServices = Set.of();
    private long publishedAtMs = Long.MIN_VALUE / 2;

    private EvidenceCollector(
            final String node, final long incarnation, final Blackboard blackboard, final Clock clock) {
        this.node = node;
        this.incarnation = incarnation;
        this.blackboard = blackboard;
        this.moves = ConfiguredMoves.of(blackboard);
        this.clock = clock;
    }

    /**
     * Creates a ledger.
     *
     * @param node the name of this node, not null.
     * @param incarnation the incarnation of this node, greater than that of every earlier process of the same name.
     * @param blackboard where to publish, not null.
     * @param clock the clock, not null.
     * @return the ledger, never null.
     */
    public static EvidenceCollector of(
            final String node, final long incarnation, final Blackboard blackboard, final Clock clock) {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(clock, "clock");
        return new EvidenceCollector(node, incarnation, blackboard, clock);
    }

    @Override
    public void record(
            final String service,
            final String targetVersion,
            final String route,
            final CallResult result,
            final long latencyMs) {
        if (!movingServices.contains(service)) {
            return;
        }
        boolean cold = coldStarts
                .computeIfAbsent(new VersionKey(service, targetVersion), key -> new ColdStartDetector())
                .next();
        Subject subject = new Subject(service, targetVersion, route);
        counts.computeIfAbsent(subject, key -> new CallCounts()).add(result, latencyMs, cold);
    }

    /**
     * Leaves out the first latencies of a target that has just announced itself.
     *
     * @param service the service of the target, not null.
     * @param targetVersion its version, not null.
     */
    public void targetStarted(final String service, final String targetVersion) {
        coldStarts.computeIfPresent(new VersionKey(service, targetVersion), (key, present) -> {
            present.restart();
            return present;
        });
    }

    @Override
    public void tick() {
        Set<String> moving = Set.copyOf(moves.moving().keySet());
        if (!moving.equals(movingServices)) {
            movingServices = moving;
            dropOthers(moving);
        }
        long nowMs = clock.nowMs();
        if (nowMs - publishedAtMs >= PUBLISH_INTERVAL_MS) {
            publishedAtMs = nowMs;
            counts.forEach((subject, present) -> publishIfChanged(subject, present, nowMs));
        }
    }

    private void dropOthers(final Set<String> moving) {
        counts.keySet().removeIf(subject -> !moving.contains(subject.service()));
        coldStarts.keySet().removeIf(version -> !moving.contains(version.service()));
        published.keySet().removeIf(subject -> !moving.contains(subject.service()));
        for (Entry entry : blackboard.entries(Section.EVIDENCE)) {
            if (!moving.contains(((Evidence) entry.value()).service())) {
                blackboard.remove(entry.key(), entry.version());
            }
        }
    }

    private void publishIfChanged(final Subject subject, final CallCounts present, final long nowMs) {
        Publication last = published.get(subject);
        Evidence evidence = present.toEvidence(node, subject.service(), subject.targetVersion(), subject.route());
        boolean unchanged = last != null && last.evidence().equals(evidence);
        if (unchanged && nowMs - last.atMs() < REFRESH_INTERVAL_MS) {
            return;
        }
        EntryVersion version = EntryVersion.of(incarnation, sequence.incrementAndGet());
        blackboard.merge(Entry.of(evidence.name(), node, version, evidence));
        published.put(subject, new Publication(nowMs, evidence));
    }

    /** What one set of counts is about. Immutable and thread-safe. */
    private record Subject(String service, String targetVersion, String route) {}

    /** A version of a service. Immutable and thread-safe. */
    private record VersionKey(String service, String targetVersion) {}

    /** The latest entry published. Immutable and thread-safe. */
    private record Publication(long atMs, Evidence evidence) {}
}
