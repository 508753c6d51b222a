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
 * Detects faults of new versions from the calls that this node sends, without waiting for the evidence of other
 * nodes.
 *
 * <p>Call {@link #record} at the end of each attempt and {@link #tick()} several times a second. When a version is
 * found faulty, the detector stops the move on this node at once and rolls it back on the blackboard, from which the
 * rollback is replicated to all other nodes. The error rate of the detector is far below that of
 * {@link RolloutController}, since there are thousands of nodes and each of them can roll a move back.
 *
 * <p>{@link #record} is thread-safe and does not block: the counts of each gate node, version and route have a
 * separate lock. {@link #tick()} is confined to the control thread.
 */
public final class LocalFaultDetector implements Controller {

    /** Highest probability with which one node rolls a healthy version back, over the whole move. */
    public static final double ERROR_RATE = 1e-7;

    /** Shortest time between two analyses, in milliseconds. */
    private static final long BLOCK_INTERVAL_MS = 250;

    private final String node;
    private final Blackboard blackboard;
    private final LocallyStoppedMoves stoppedMoves;
    private final Clock clock;
    private final ConfiguredMoves configuredMoves;
    private final Map<String, LocalCallCounts> countsByService = new ConcurrentHashMap<>();
    private long blockStartMs;

    private LocalFaultDetector(
            final String node, final Blackboard blackboard, final LocallyStoppedMoves stoppedMoves, final Clock clock) {
        this.node = node;
        this.blackboard = blackboard;
        this.stoppedMoves = stoppedMoves;
        this.clock = clock;
        this.configuredMoves = ConfiguredMoves.of(blackboard);
        this.blockStartMs = clock.nowMs();
    }

    /**
     * Creates a detector.
     *
     * @param node the name of this node, not null.
     * @param blackboard the blackboard to read moves from and to write rollbacks to, not null.
     * @param stoppedMoves receives the moves that the detector stops on this node, not null.
     * @param clock the clock, not null.
     * @return the detector, never null.
     */
    public static LocalFaultDetector of(
            final String node, final Blackboard blackboard, final LocallyStoppedMoves stoppedMoves, final Clock clock) {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(stoppedMoves, "stoppedMoves");
        Objects.requireNonNull(clock, "clock");
        return new LocalFaultDetector(node, blackboard, stoppedMoves, clock);
    }

    /**
     * Records the end of an attempt that this node sent.
     *
     * @param gateNode the name of the node whose gate dispatches to the target, not null.
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
        LocalCallCounts counts = countsByService.get(service);
        if (counts != null) {
            counts.record(gateNode, targetVersion, route, result, latencyMs);
        }
    }

    @Override
    public void tick() {
        Map<String, ServiceConfiguration> movingServices = configuredMoves.movingServices();
        removeEndedMoves(movingServices);
        movingServices.values().forEach(this::updateCounting);
        long nowMs = clock.nowMs();
        if (nowMs - blockStartMs >= BLOCK_INTERVAL_MS) {
            blockStartMs = nowMs;
            countsByService.values().forEach(this::analyze);
        }
    }

    private void removeEndedMoves(final Map<String, ServiceConfiguration> movingServices) {
        Set<String> identities = new HashSet<>();
        movingServices
                .values()
                .forEach(configuration -> configuration.moveIdentity().ifPresent(identities::add));
        countsByService.values().removeIf(counts -> !identities.contains(counts.moveIdentity()));
        stoppedMoves.retain(identities);
    }

    private void updateCounting(final ServiceConfiguration configuration) {
        boolean inProgress = progress(configuration.moveIdentity().orElseThrow())
                .filter(progress -> progress.stage() == Stage.SHIFTING || progress.stage() == Stage.WATCHING)
                .isPresent();
        if (inProgress) {
            countsByService.computeIfAbsent(configuration.service(), key -> new LocalCallCounts(configuration));
        } else {
            countsByService.remove(configuration.service());
        }
    }

    private void analyze(final LocalCallCounts counts) {
        AnalysisResult result = counts.analyze();
        if (result.finding() == AnalysisResult.Finding.FAULTY) {
            stoppedMoves.stop(counts.moveIdentity());
            progress(counts.moveIdentity()).ifPresent(progress -> rollBack(progress, result));
        }
    }

    private void rollBack(final RolloutProgress progress, final AnalysisResult result) {
        RolloutProgress rolledBack = progress.rolledBack(result.explanation() + " (seen by " + node + " alone)");
        blackboard.merge(Entry.of(progress.move(), node, rolledBack.entryVersion(), rolledBack));
    }

    private Optional<RolloutProgress> progress(final String move) {
        return blackboard.value(Section.ROLLOUT, move, RolloutProgress.class);
    }
}
