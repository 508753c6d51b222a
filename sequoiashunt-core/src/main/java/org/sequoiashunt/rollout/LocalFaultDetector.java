package org.sequoiashunt.rollout;

import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.time.Clock;

/**
 * Judges new versions by the calls that this node sends itself, without waiting for the evidence of other nodes.
 *
 * <p>Tell it the end of each attempt and call {@link #tick()} several times a second. On a clear fault it stops the
 * move on this node at once and takes it back on the blackboard, from where the take-back reaches all other nodes. Its
 * error rate is far below that of a controller, as there are thousands of nodes and any of them can take a move back.
 *
 * <p>{@link #record} is thread-safe and does not block: counts lie in shards, each under its own lock.
 * {@link #tick()} is confined to the control thread.
 */
public final class LocalFaultDetector implements Controller {

    /** Probability with which one node takes a sound version back. */
    public static final double ERROR_RATE = 1e-7;

    private static final long BLOCK_INTERVAL_MS = 250;

    private final String node;
    private final Blackboard blackboard;
    private final LocallyStoppedMoves stops;
    private final Clock clock;
    private final ConfiguredMoves moves;
    private final Map<String, LocalCallCounts> watched = new ConcurrentHashMap<>();
    private long blockBeganMs;

    private LocalFaultDetector(
            final String node, final Blackboard blackboard, final LocallyStoppedMoves stops, final Clock clock) {
        this.node = node;
        this.blackboard = blackboard;
        this.stops = stops;
        this.clock = clock;
        this.moves = ConfiguredMoves.of(blackboard);
        this.blockBeganMs = clock.nowMs();
    }

    /**
     * Creates a detector.
     *
     * @param node the name of this node, not null.
     * @param blackboard the blackboard, not null.
     * @param stops the moves that this node has stopped, not null.
     * @param clock the clock, not null.
     * @return the detector, never null.
     */
    public static LocalFaultDetector of(
            final String node, final Blackboard blackboard, final LocallyStoppedMoves stops, final Clock clock) {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(stops, "stops");
        Objects.requireNonNull(clock, "clock");
        return new LocalFaultDetector(node, blackboard, stops, clock);
    }

    /**
     * Records the end of an attempt that this node sent.
     *
     * @param gateNode the node at whose gate the target is, not null.
     * @param service the service, not null.
     * @param targetVersion the target version, not null.
     * @param route the route, not null.
     * @param result how the attempt ended, not null.
     * @param latencyMs time from sending to end in milliseconds, zero or more.
     */
    public void record(
            final String gateNode,
            final String service,
            final String targetVersion,
            final String route,
            final CallResult result,
            final long latencyMs) {
        LocalCallCounts counts = watched.get(service);
        if (counts != null) {
            counts.record(gateNode, targetVersion, route, result, latencyMs);
        }
    }

    @Override
    public void tick() {
        Map<String, ServiceConfiguration> moving = moves.moving();
        forgetOthers(moving);
        moving.values().forEach(this::watch);
        long nowMs = clock.nowMs();
        if (nowMs - blockBeganMs >= BLOCK_INTERVAL_MS) {
            blockBeganMs = nowMs;
            watched.values().forEach(this::judge);
        }
    }

    private void forgetOthers(final Map<String, ServiceConfiguration> moving) {
        Set<String> identities = new HashSet<>();
        moving.values().forEach(part -> part.moveIdentity().ifPresent(identities::add));
        watched.values().removeIf(counts -> !identities.contains(counts.move()));
        stops.retain(identities);
    }

    private void watch(final ServiceConfiguration configuration) {
        boolean open = progress(configuration.moveIdentity().orElseThrow())
                .filter(progress -> progress.stage() == Stage.SHIFTING || progress.stage() == Stage.WATCHING)
                .isPresent();
        if (open) {
            watched.computeIfAbsent(configuration.service(), key -> new LocalCallCounts(configuration));
        } else {
            watched.remove(configuration.service());
        }
    }

    private void judge(final LocalCallCounts counts) {
        AnalysisResult judgement = counts.judge();
        if (judgement.finding() == AnalysisResult.Finding.FAULTY) {
            stops.stop(counts.move());
            progress(counts.move()).ifPresent(progress -> takeBack(progress, judgement));
        }
    }

    private void takeBack(final RolloutProgress progress, final AnalysisResult judgement) {
        RolloutProgress takenBack = progress.takenBack(judgement.explanation() + " (seen by " + node + " alone)");
        blackboard.merge(Entry.of(progress.move(), node, takenBack.entryVersion(), takenBack));
    }

    private Optional<RolloutProgress> progress(final String move) {
        return blackboard.value(Section.ROLLOUT, move, RolloutProgress.class);
    }
}
