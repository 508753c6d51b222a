package org.sequoiashunt.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Counts the calls that this node sent for one move, and analyzes the new version by them.
 *
 * <p>{@link #record} is thread-safe: the counts of each node, version and route have a separate lock.
 * {@link #analyze()} is confined to the control thread.
 */
final class LocalCallCounts {

    private final String service;
    private final String moveIdentity;
    private final Move move;
    private final VersionAnalyzer analyzer = SequentialAnalyzer.of(LocalFaultDetector.ERROR_RATE);
    private final Map<CountsKey, CallCounts> countsByKey = new ConcurrentHashMap<>();
    private final Map<CountsKey, ColdStartDetector> coldStartDetectors = new ConcurrentHashMap<>();
    private final Map<CountsKey, Evidence> lastAnalyzedCounts = new HashMap<>();

    /**
     * Creates counts that are zero.
     *
     * @param configuration the configuration of a service with a move, not null.
     */
    LocalCallCounts(final ServiceConfiguration configuration) {
        this.service = configuration.service();
        this.moveIdentity = configuration.moveIdentity().orElseThrow();
        this.move = configuration.move().orElseThrow();
    }

    /**
     * Returns the identity of the move.
     *
     * @return the identity, never null.
     */
    String moveIdentity() {
        return moveIdentity;
    }

    /** Records the end of an attempt; see {@link LocalFaultDetector#record}. */
    void record(
            final String gateNode,
            final String targetVersion,
            final String route,
            final CallResult result,
            final long latencyMs) {
        boolean cold = coldStartDetectors
                .computeIfAbsent(new CountsKey(gateNode, targetVersion, ""), key -> new ColdStartDetector())
                .countCall();
        countsByKey
                .computeIfAbsent(new CountsKey(gateNode, targetVersion, route), key -> new CallCounts())
                .add(result, latencyMs, cold);
    }

    /**
     * Adds the calls recorded since the previous analysis and analyzes the new version by all calls so far.
     *
     * @return the result, never null.
     */
    AnalysisResult analyze() {
        List<Evidence> increments = new ArrayList<>();
        countsByKey.forEach((key, callCounts) -> {
            Evidence increment = increment(key, callCounts);
            if (increment.requests() > 0) {
                increments.add(increment);
            }
        });
        return analyzer.analyze(new EvidenceBlock(move.from(), move.to(), increments));
    }

    private Evidence increment(final CountsKey key, final CallCounts callCounts) {
        Evidence later = callCounts.toEvidence(key.gateNode(), service, key.targetVersion(), key.route());
        Evidence earlier = lastAnalyzedCounts.put(key, later);
        return earlier == null ? later : EvidenceArithmetic.difference(later, earlier);
    }

    /** Gate node, target version and route that one set of counts belongs to. Immutable and thread-safe. */
    private record CountsKey(String gateNode, String targetVersion, String route) {}
}
