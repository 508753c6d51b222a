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
 * Counts the calls of services with a move at this node's gate, and publishes the counts on the blackboard.
 *
 * <p>Pass the collector to the gate as its {@link EvidenceRecorder} and call {@link #tick()} several times a second.
 * The collector publishes one {@link Evidence} entry per target version and route, at most once a second each. It
 * publishes all entries in the same tick, so that the counts of the old and the new version cover the same time. It
 * removes the evidence of services that no longer have a move.
 *
 * <p>{@link #record} is thread-safe and does not block: the counts of each version and route have a separate lock.
 * {@link #tick()} is confined to the control thread. Invariant: the sequence number of published entries increases
 * over the whole incarnation, also when a service gets a second move.
 */
public final class EvidenceCollector implements EvidenceRecorder, Controller {

    /** Shortest time between two entries for one version and route, in milliseconds. */
    public static final long PUBLISH_INTERVAL_MS = 1_000;

    /**
     * Longest time between two entries with unchanged counts, in milliseconds; the entries show readers that this
     * node is reachable.
     */
    public static final long REFRESH_INTERVAL_MS = 5_000;

    private final String node;
    private final long incarnation;
    private final Blackboard blackboard;
    private final ConfiguredMoves configuredMoves;
    private final Clock clock;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<CountsKey, CallCounts> countsByKey = new ConcurrentHashMap<>();
    private final Map<VersionKey, ColdStartDetector> coldStartDetectors = new ConcurrentHashMap<>();
    private final Map<CountsKey, Publication> lastPublications = new HashMap<>();
    private volatile Set<String> movingServices = Set.of();
    private long lastPublicationMs = Long.MIN_VALUE / 2;

    private EvidenceCollector(
            final String node, final long incarnation, final Blackboard blackboard, final Clock clock) {
        this.node = node;
        this.incarnation = incarnation;
        this.blackboard = blackboard;
        this.configuredMoves = ConfiguredMoves.of(blackboard);
        this.clock = clock;
    }

    /**
     * Creates a collector.
     *
     * @param node the name of this node, not null.
     * @param incarnation the incarnation of this node, greater than that of every earlier process of the same name.
     * @param blackboard the blackboard to publish on, not null.
     * @param clock the clock, not null.
     * @return the collector, never null.
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
        boolean cold = coldStartDetectors
                .computeIfAbsent(new VersionKey(service, targetVersion), key -> new ColdStartDetector())
                .countCall();
        CountsKey countsKey = new CountsKey(service, targetVersion, route);
        countsByKey.computeIfAbsent(countsKey, key -> new CallCounts()).add(result, latencyMs, cold);
    }

    /**
     * Treats the next calls of a target version as calls to a cold target, because a target of it has announced
     * itself.
     *
     * @param service the service of the target, not null.
     * @param targetVersion the version of the target, not null.
     */
    public void targetStarted(final String service, final String targetVersion) {
        coldStartDetectors.computeIfPresent(new VersionKey(service, targetVersion), (key, detector) -> {
            detector.reset();
            return detector;
        });
    }

    @Override
    public void tick() {
        Set<String> moving = Set.copyOf(configuredMoves.movingServices().keySet());
        if (!moving.equals(movingServices)) {
            movingServices = moving;
            removeOtherServices(moving);
        }
        long nowMs = clock.nowMs();
        if (nowMs - lastPublicationMs >= PUBLISH_INTERVAL_MS) {
            lastPublicationMs = nowMs;
            countsByKey.forEach((key, callCounts) -> publishIfChanged(key, callCounts, nowMs));
        }
    }

    private void removeOtherServices(final Set<String> moving) {
        countsByKey.keySet().removeIf(key -> !moving.contains(key.service()));
        coldStartDetectors.keySet().removeIf(key -> !moving.contains(key.service()));
        lastPublications.keySet().removeIf(key -> !moving.contains(key.service()));
        for (Entry entry : blackboard.entries(Section.EVIDENCE)) {
            if (!moving.contains(((Evidence) entry.value()).service())) {
                blackboard.remove(entry.key(), entry.version());
            }
        }
    }

    private void publishIfChanged(final CountsKey key, final CallCounts callCounts, final long nowMs) {
        Publication last = lastPublications.get(key);
        Evidence evidence = callCounts.toEvidence(node, key.service(), key.targetVersion(), key.route());
        boolean unchanged = last != null && last.evidence().equals(evidence);
        if (unchanged && nowMs - last.atMs() < REFRESH_INTERVAL_MS) {
            return;
        }
        EntryVersion version = EntryVersion.of(incarnation, sequence.incrementAndGet());
        blackboard.merge(Entry.of(evidence.name(), node, version, evidence));
        lastPublications.put(key, new Publication(nowMs, evidence));
    }

    /** Service, target version and route that one set of counts belongs to. Immutable and thread-safe. */
    private record CountsKey(String service, String targetVersion, String route) {}

    /** A version of a service. Immutable and thread-safe. */
    private record VersionKey(String service, String targetVersion) {}

    /** The latest published counts and the time of their publication. Immutable and thread-safe. */
    private record Publication(long atMs, Evidence evidence) {}
}
