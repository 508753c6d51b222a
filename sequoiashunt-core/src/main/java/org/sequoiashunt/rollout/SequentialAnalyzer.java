package org.sequoiashunt.rollout;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Analyzes a new version by sequential tests, for each route and for all routes together.
 *
 * <p>A version is faulty when a test reaches its threshold and also reaches a lower threshold whichever node is left
 * out: a fault on one node alone is a fault of its VM, such as a noisy neighbour, and not of the version. With only
 * one node the second condition does not apply.
 *
 * <p>The error rate is the highest probability with which a version whose rates stay within the tolerances of
 * {@link FaultKind} is found faulty, over the whole move and all tests together.
 *
 * <p>Confined to one thread.
 */
public final class SequentialAnalyzer implements VersionAnalyzer {

    private static final String ALL_ROUTES = "";
    /** Error rate of each test that leaves one node out. */
    private static final double LEAVE_ONE_OUT_ERROR_RATE = 0.02;
    /** Error rate, over all tests together, at which a version is suspected. */
    private static final double SUSPICION_ERROR_RATE = 0.01;
    /** Requests of the old version that a block must have before it is analyzed. */
    private static final long MINIMUM_OLD_VERSION_REQUESTS = 40;
    /** Intervals after which a block is analyzed even if it has few requests. */
    private static final int MAXIMUM_INTERVALS_PER_BLOCK = 40;

    private static final double LEAVE_ONE_OUT_LOG_THRESHOLD = -Math.log(LEAVE_ONE_OUT_ERROR_RATE);

    private final double errorRate;
    private final Map<String, RouteTests> testsByRoute = new TreeMap<>();
    private final Set<String> newVersionNodes = new TreeSet<>();
    private EvidenceBlock pendingBlock;
    private int pendingIntervals;
    private AnalysisResult result = AnalysisResult.HEALTHY;

    private SequentialAnalyzer(final double errorRate) {
        this.errorRate = errorRate;
    }

    /**
     * Creates an analyzer.
     *
     * @param errorRate the highest probability with which a healthy version is found faulty, above 0 and below 1.
     * @return an analyzer without any calls, never null.
     * @throws IllegalArgumentException if the rate is out of range.
     */
    public static SequentialAnalyzer of(final double errorRate) {
        if (!(errorRate > 0 && errorRate < 1)) {
            throw new IllegalArgumentException("errorRate out of range: " + errorRate);
        }
        return new SequentialAnalyzer(errorRate);
    }

    @Override
    public AnalysisResult analyze(final EvidenceBlock block) {
        pendingBlock = pendingBlock == null ? block : pendingBlock.plus(block);
        pendingIntervals++;
        if (isLargeEnough(pendingBlock)) {
            add(pendingBlock);
            result = worstResult(pendingBlock);
            pendingBlock = null;
            pendingIntervals = 0;
        }
        return result;
    }

    /** Small blocks are combined, since the old version has too few calls in each of them to compare with. */
    private boolean isLargeEnough(final EvidenceBlock block) {
        boolean comparable =
                block.requests(block.from()) >= MINIMUM_OLD_VERSION_REQUESTS && block.requests(block.to()) > 0;
        return comparable || pendingIntervals >= MAXIMUM_INTERVALS_PER_BLOCK;
    }

    private void add(final EvidenceBlock block) {
        for (Evidence evidence : block.counts()) {
            boolean newVersion = evidence.targetVersion().equals(block.to());
            if (newVersion && evidence.requests() > 0 && newVersionNodes.add(evidence.node())) {
                testsByRoute.values().forEach(tests -> tests.addLeaveOneOutTests(evidence.node()));
            }
        }
        Map<String, LeaveOneOutCounts> counts = new TreeMap<>();
        for (Evidence evidence : block.counts()) {
            boolean newVersion = evidence.targetVersion().equals(block.to());
            counts.computeIfAbsent(ALL_ROUTES, key -> new LeaveOneOutCounts(newVersionNodes))
                    .add(evidence, newVersion);
            counts.computeIfAbsent(evidence.route(), key -> new LeaveOneOutCounts(newVersionNodes))
                    .add(evidence, newVersion);
        }
        counts.forEach((route, nodes) -> testsByRoute
                .computeIfAbsent(route, key -> new RouteTests(testsByRoute.size(), newVersionNodes))
                .add(nodes));
    }

    private AnalysisResult worstResult(final EvidenceBlock block) {
        AnalysisResult worst = AnalysisResult.HEALTHY;
        for (Map.Entry<String, RouteTests> route : testsByRoute.entrySet()) {
            for (FaultKind kind : FaultKind.values()) {
                AnalysisResult.Finding finding = finding(route.getValue(), kind);
                if (finding.compareTo(worst.finding()) > 0) {
                    String subject = route.getKey().equals(ALL_ROUTES) ? "the service" : "route " + route.getKey();
                    PairedCounts counts = route.getValue().allNodes().countsSinceReset(kind);
                    worst = new AnalysisResult(
                            finding, subject + " " + kind.describe(counts, block.to(), block.from()));
                }
            }
        }
        return worst;
    }

    private AnalysisResult.Finding finding(final RouteTests tests, final FaultKind kind) {
        double evidence = tests.allNodes().logEvidence(kind);
        if (evidence < tests.logEvidenceThreshold(SUSPICION_ERROR_RATE)
                || tests.lowestLeaveOneOutEvidence(kind) < LEAVE_ONE_OUT_LOG_THRESHOLD) {
            return AnalysisResult.Finding.HEALTHY;
        }
        return evidence >= tests.logEvidenceThreshold(errorRate)
                ? AnalysisResult.Finding.FAULTY
                : AnalysisResult.Finding.SUSPECTED;
    }
}
