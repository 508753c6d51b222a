package org.sequoiashunt.rollout;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Analyzes a new version by sequential tests, for each route and for all routes together.
 *
 * <p>A version is faulty when a test reaches its bound and does so, at a lower bound, whichever node is left out: what
 * goes wrong on one node alone is a fault of its VM, such as a noisy neighbour, and not of the version. With one node
 * there is none to leave out.
 *
 * <p>The error rate is the highest probability with which a version that is no worse than the tolerances is ever found
 * faulty, over the whole move and all tests together.
 *
 * <p>Confined to one thread.
 */
public final class SequentialAnalyzer implements VersionAnalyzer {

    private static final String ALL_ROUTES = "";
    private static final double LEFT_OUT_ERROR_RATE = 0.02;
    private static final double DOUBT_ERROR_RATE = 0.01;
    private static final long CONTROL_REQUESTS = 40;
    private static final int LONGEST_BLOCK_ROUNDS = 40;

    private static final double LEFT_OUT_BOUND = -Math.log(LEFT_OUT_ERROR_RATE);

    private final double errorRate;
    private final Map<String, RouteTests> routes = new TreeMap<>();
    private final Set<String> newNodes = new TreeSet<>();
    private EvidenceBlock pending;
    private int rounds;
    private AnalysisResult judgement = AnalysisResult.SOUND;

    private SequentialAnalyzer(final double errorRate) {
        this.errorRate = errorRate;
    }

    /**
     * Creates a judge.
     *
     * @param errorRate the probability with which a sound version may be found faulty, above 0 and below 1.
     * @return a judge that has seen nothing, never null.
     * @throws IllegalArgumentException if the rate is out of range.
     */
    public static SequentialAnalyzer of(final double errorRate) {
        if (!(errorRate > 0 && errorRate < 1)) {
            throw new IllegalArgumentException("errorRate out of range: " + errorRate);
        }
        return new SequentialAnalyzer(errorRate);
    }

    @Override
    public AnalysisResult judge(final EvidenceBlock block) {
        pending = pending == null ? block : pending.plus(block);
        rounds++;
        if (isWhole(pending)) {
            add(pending);
            judgement = conclude(pending);
            pending = null;
            rounds = 0;
        }
        return judgement;
    }

    /** Small blocks say little, as the version beside has too few calls in them to compare with. */
    private boolean isWhole(final EvidenceBlock block) {
        boolean controlled = block.requests(block.from()) >= CONTROL_REQUESTS && block.requests(block.to()) > 0;
        return controlled || rounds >= LONGEST_BLOCK_ROUNDS;
    }

    private void add(final EvidenceBlock block) {
        for (Evidence evidence : block.counts()) {
            boolean newVersion = evidence.targetVersion().equals(block.to());
            if (newVersion && evidence.requests() > 0 && newNodes.add(evidence.node())) {
                routes.values().forEach(tests -> tests.leaveOut(evidence.node()));
            }
        }
        Map<String, LeaveOneOutCounts> counts = new TreeMap<>();
        for (Evidence evidence : block.counts()) {
            boolean newVersion = evidence.targetVersion().equals(block.to());
            counts.computeIfAbsent(ALL_ROUTES, key -> new LeaveOneOutCounts(newNodes))
                    .add(evidence, newVersion);
            counts.computeIfAbsent(evidence.route(), key -> new LeaveOneOutCounts(newNodes))
                    .add(evidence, newVersion);
        }
        counts.forEach((route, nodes) -> routes.computeIfAbsent(route, key -> new RouteTests(routes.size(), newNodes))
                .add(nodes));
    }

    private AnalysisResult conclude(final EvidenceBlock block) {
        AnalysisResult worst = AnalysisResult.SOUND;
        for (Map.Entry<String, RouteTests> route : routes.entrySet()) {
            for (FaultKind kind : FaultKind.values()) {
                AnalysisResult.Finding finding = finding(route.getValue(), kind);
                if (finding.compareTo(worst.finding()) > 0) {
                    String subject = route.getKey().equals(ALL_ROUTES) ? "the service" : "route " + route.getKey();
                    PairedCounts counts = route.getValue().all().suspicious(kind);
                    worst = new AnalysisResult(
                            finding, subject + " " + kind.describe(counts, block.to(), block.from()));
                }
            }
        }
        return worst;
    }

    private AnalysisResult.Finding finding(final RouteTests tests, final FaultKind kind) {
        double evidence = tests.all().logEvidence(kind);
        if (evidence < tests.bound(DOUBT_ERROR_RATE) || tests.lowestWithoutOne(kind) < LEFT_OUT_BOUND) {
            return AnalysisResult.Finding.SOUND;
        }
        return evidence >= tests.bound(errorRate) ? AnalysisResult.Finding.FAULTY : AnalysisResult.Finding.DOUBTFUL;
    }
}
