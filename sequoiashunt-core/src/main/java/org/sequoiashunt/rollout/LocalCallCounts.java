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
 * Calls that this node sent for one move, and the judge of them.
 *
 * <p>{@link #record} is thread-safe: each node, version and route has counts under a lock of their own.
 * {@link #judge()} is confined to the control thread.
 */
final class LocalCallCounts {

    private final String service;
    private final String identity;
    private final Move move;
    private final VersionAnalyzer judge = SequentialAnalyzer.of(LocalFaultDetector.ERROR_RATE);
    private final Map<Subject, CallCounts> counts = new ConcurrentHashMap<>();
    private final Map<Subject, ColdStartDetector> coldStarts = new ConcurrentHashMap<>();
    private final Map<Subject, Evidence> judged = new HashMap<>();

    /**
     * Creates counts of nothing.
     *
     * @param configuration the configuration of a service with a move, not null.
     */
    LocalCallCounts(final ServiceConfiguration configuration) {
        this.service = configuration.service();
        this.identity = configuration.moveIdentity().orElseThrow();
        this.move = configuration.move().orElseThrow();
    }

    /**
     * Returns the move.
     *
     * @return its identity, never null.
     */
    String move() {
        return identity;
    }

    /** Records the end of an attempt; see {@link LocalFaultDetector#record}. */
    void record(
            final String gateNode,
            final String targetVersion,
            final String route,
            final CallResult result,
            final long latencyMs) {
        boolean cold = coldStarts
                .computeIfAbsent(new Subject(gateNode, targetVersion, ""), key -> new ColdStartDetector())
                .next();
        counts.computeIfAbsent(new Subject(gateNode, targetVersion, route), key -> new CallCounts())
                .add(result, latencyMs, cold);
    }

    /**
     * Judges by what was recorded so far.
     *
     * @return the judgement, never null.
     */
    AnalysisResult judge() {
        List<Evidence> increments = new ArrayList<>();
        counts.forEach((subject, present) -> {
            Evidence increment = increment(subject, present);
            if (increment.requests() > 0) {
                increments.add(increment);
            }
        });
        return judge.judge(new EvidenceBlock(move.from(), move.to(), increments));
    }

    private Evidence increment(final Subject subject, final CallCounts present) {
        Evidence later = present.toEvidence(subject.gateNode(), service, subject.targetVersion(), subject.route());
        Evidence earlier = judged.put(subject, later);
        return earlier == null ? later : EvidenceArithmetic.difference(later, earlier);
    }

    /** What one set of counts is about. Immutable and thread-safe. */
    private record Subject(String gateNode, String targetVersion, String route) {}
}
