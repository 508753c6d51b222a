package org.sequoiashunt.trial.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import org.sequoiashunt.rollout.AnalysisResult;
import org.sequoiashunt.rollout.Evidence;
import org.sequoiashunt.rollout.EvidenceBlock;
import org.sequoiashunt.rollout.VersionAnalyzer;

/**
 * Common practice to compare with: takes a version back when, over the last thirty seconds and at least twenty
 * requests, it fails three requests and more than one in twenty, or its mean latency bucket lies one above that of the
 * version beside it.
 *
 * <p>Confined to one thread.
 */
final class ThresholdAnalyzer implements VersionAnalyzer {

    private static final int WINDOW_BLOCKS = 60;
    private static final long LEAST_REQUESTS = 20;
    private static final long LEAST_FAILURES = 3;
    private static final double HIGHEST_FAILURE_RATE = 0.05;
    private static final double HIGHEST_BUCKET_RISE = 1;

    private final Deque<EvidenceBlock> window = new ArrayDeque<>();

    @Override
    public AnalysisResult analyze(final EvidenceBlock block) {
        window.add(block);
        if (window.size() > WINDOW_BLOCKS) {
            window.remove();
        }
        EvidenceBlock sum = window.stream().reduce(EvidenceBlock::plus).orElseThrow();
        long requests = sum.requests(sum.to());
        if (requests < LEAST_REQUESTS) {
            return AnalysisResult.HEALTHY;
        }
        boolean failing = failures(sum) >= Math.max(LEAST_FAILURES, HIGHEST_FAILURE_RATE * requests);
        boolean slow = meanBucket(sum, sum.to()) - meanBucket(sum, sum.from()) > HIGHEST_BUCKET_RISE;
        return failing || slow
                ? new AnalysisResult(AnalysisResult.Finding.FAULTY, "above the threshold")
                : AnalysisResult.HEALTHY;
    }

    private static long failures(final EvidenceBlock sum) {
        return sum.counts().stream()
                .filter(count -> count.targetVersion().equals(sum.to()))
                .mapToLong(Evidence::failures)
                .sum();
    }

    private static double meanBucket(final EvidenceBlock sum, final String targetVersion) {
        double calls = 0;
        double weighted = 0;
        for (Evidence count : sum.counts()) {
            for (int bucket = 0; bucket < Evidence.BUCKETS; bucket++) {
                long inBucket = count.targetVersion().equals(targetVersion)
                        ? count.latencyBuckets().get(bucket)
                        : 0;
                calls += inBucket;
                weighted += bucket * (double) inBucket;
            }
        }
        return calls == 0 ? 0 : weighted / calls;
    }
}
