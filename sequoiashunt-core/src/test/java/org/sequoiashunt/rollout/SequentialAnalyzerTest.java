package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SequentialAnalyzerTest {

    private static final String OLD_VERSION = RolloutFixture.OLD_VERSION;
    private static final String NEW_VERSION = RolloutFixture.NEW_VERSION;

    @Test
    void keepsErrorRateWhenFailureRateOfBothVersionsDrifts() {
        int trials = 400;
        double errorRate = 0.05;
        int found = 0;
        for (int seed = 0; seed < trials; seed++) {
            found += findsFaultUnderDrift(seed, errorRate) ? 1 : 0;
        }

        assertTrue(found <= errorRate * trials, found + " of " + trials + " healthy versions found faulty");
    }

    @Test
    void findsVersionThatFails() {
        SequentialAnalyzer analyzer = SequentialAnalyzer.of(1e-3);
        AnalysisResult result = AnalysisResult.HEALTHY;
        for (int block = 0; block < 5; block++) {
            result = analyzer.analyze(block(count("node-1", NEW_VERSION, "reserve", 4, 4, 3), oldVersionCounts(0)));
        }

        assertEquals(AnalysisResult.Finding.FAULTY, result.finding());
        assertTrue(result.explanation().contains("failed"), result.explanation());
    }

    @Test
    void namesRouteOfFault() {
        SequentialAnalyzer analyzer = SequentialAnalyzer.of(1e-3);
        AnalysisResult result = AnalysisResult.HEALTHY;
        for (int block = 0; block < 60 && result.finding() != AnalysisResult.Finding.FAULTY; block++) {
            result = analyzer.analyze(block(
                    count("node-1", NEW_VERSION, "lookup", 200, 0, 3),
                    count("node-1", OLD_VERSION, "lookup", 200, 0, 3),
                    count("node-1", NEW_VERSION, "reserve", 10, block % 2, 3),
                    count("node-1", OLD_VERSION, "reserve", 10, 0, 3)));
        }

        assertTrue(result.explanation().startsWith("route reserve failed"), result.explanation());
    }

    @Test
    void findsSlowVersion() {
        SequentialAnalyzer analyzer = SequentialAnalyzer.of(1e-3);
        AnalysisResult result = AnalysisResult.HEALTHY;
        for (int block = 0; block < 10; block++) {
            result = analyzer.analyze(block(count("node-1", NEW_VERSION, "reserve", 4, 0, 5), oldVersionCounts(0)));
        }

        assertEquals(AnalysisResult.Finding.FAULTY, result.finding());
        assertTrue(result.explanation().contains("slower than usual"), result.explanation());
    }

    @Test
    void faultOfBothVersionsLeavesNewVersionHealthy() {
        SequentialAnalyzer analyzer = SequentialAnalyzer.of(1e-3);
        for (int block = 0; block < 200; block++) {
            boolean outage = block >= 100 && block < 150;
            AnalysisResult result = analyzer.analyze(block(
                    count("node-1", NEW_VERSION, "reserve", 5, outage ? 3 : 0, outage ? 6 : 3),
                    oldVersionCounts(outage ? 60 : 0)));
            assertEquals(AnalysisResult.Finding.HEALTHY, result.finding());
        }
    }

    @Test
    void faultOnOneNodeLeavesVersionHealthy() {
        SequentialAnalyzer analyzer = SequentialAnalyzer.of(1e-3);
        for (int block = 0; block < 200; block++) {
            AnalysisResult result = analyzer.analyze(block(
                    count("node-1", NEW_VERSION, "reserve", 5, 4, 7),
                    count("node-2", NEW_VERSION, "reserve", 5, 0, 3),
                    oldVersionCounts(0)));
            assertEquals(AnalysisResult.Finding.HEALTHY, result.finding());
        }
    }

    @Test
    void findsFaultAfterLongHealthyPeriod() {
        SequentialAnalyzer analyzer = SequentialAnalyzer.of(1e-3);
        for (int block = 0; block < 2_000; block++) {
            analyzer.analyze(block(count("node-1", NEW_VERSION, "reserve", 4, 0, 3), oldVersionCounts(0)));
        }
        AnalysisResult result = AnalysisResult.HEALTHY;
        for (int block = 0; block < 3; block++) {
            result = analyzer.analyze(block(count("node-1", NEW_VERSION, "reserve", 4, 4, 3), oldVersionCounts(0)));
        }

        assertEquals(AnalysisResult.Finding.FAULTY, result.finding());
    }

    private static boolean findsFaultUnderDrift(final int seed, final double errorRate) {
        SplittableRandom random = new SplittableRandom(seed);
        SequentialAnalyzer analyzer = SequentialAnalyzer.of(errorRate);
        double rate = 0.01;
        for (int block = 0; block < 150; block++) {
            rate = Math.min(0.7, Math.max(0.001, rate * Math.exp(0.4 * random.nextGaussian())));
            Evidence oldVersionCounts =
                    count("node-1", OLD_VERSION, "reserve", 60, randomEventCount(random, 60, rate), 3);
            Evidence newVersionCounts =
                    count("node-1", NEW_VERSION, "reserve", 10, randomEventCount(random, 10, rate), 3);
            if (analyzer.analyze(block(oldVersionCounts, newVersionCounts)).finding()
                    == AnalysisResult.Finding.FAULTY) {
                return true;
            }
        }
        return false;
    }

    private static int randomEventCount(final SplittableRandom random, final int trials, final double rate) {
        int events = 0;
        for (int trial = 0; trial < trials; trial++) {
            events += random.nextDouble() < rate ? 1 : 0;
        }
        return events;
    }

    private static Evidence oldVersionCounts(final long failures) {
        return count("node-1", OLD_VERSION, "reserve", 100, failures, failures > 0 ? 6 : 3);
    }

    private static EvidenceBlock block(final Evidence... counts) {
        return new EvidenceBlock(OLD_VERSION, NEW_VERSION, List.of(counts));
    }

    private static Evidence count(
            final String node,
            final String targetVersion,
            final String route,
            final long requests,
            final long failures,
            final int bucket) {
        Long[] buckets = new Long[Evidence.BUCKETS];
        Arrays.fill(buckets, 0L);
        buckets[bucket] = requests;
        return new Evidence(
                node,
                RolloutFixture.SERVICE,
                targetVersion,
                route,
                requests,
                failures,
                new ArrayList<>(List.of(buckets)));
    }
}
