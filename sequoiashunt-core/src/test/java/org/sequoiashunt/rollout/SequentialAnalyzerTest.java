package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SequentialAnalyzerTest {

    private static final String FROM = RolloutFixture.FROM;
    private static final String TO = RolloutFixture.TO;

    @Test
    void keepsItsErrorRateWhileTheRateOfBothDrifts() {
        int trials = 400;
        double errorRate = 0.05;
        int found = 0;
        for (int seed = 0; seed < trials; seed++) {
            found += findsFaultUnderDrift(seed, errorRate) ? 1 : 0;
        }

        assertTrue(found <= errorRate * trials, found + " of " + trials + " sound versions found faulty");
    }

    @Test
    void findsAVersionThatFails() {
        SequentialAnalyzer judge = SequentialAnalyzer.of(1e-3);
        AnalysisResult judgement = AnalysisResult.SOUND;
        for (int block = 0; block < 5; block++) {
            judgement = judge.judge(block(count("node-1", TO, "reserve", 4, 4, 3), oldCounts(0)));
        }

        assertEquals(AnalysisResult.Finding.FAULTY, judgement.finding());
        assertTrue(judgement.explanation().contains("failed"), judgement.explanation());
    }

    @Test
    void findsAFaultOnOneRouteAndNamesIt() {
        SequentialAnalyzer judge = SequentialAnalyzer.of(1e-3);
        AnalysisResult judgement = AnalysisResult.SOUND;
        for (int block = 0; block < 60 && judgement.finding() != AnalysisResult.Finding.FAULTY; block++) {
            judgement = judge.judge(block(
                    count("node-1", TO, "lookup", 200, 0, 3),
                    count("node-1", FROM, "lookup", 200, 0, 3),
                    count("node-1", TO, "reserve", 10, block % 2, 3),
                    count("node-1", FROM, "reserve", 10, 0, 3)));
        }

        assertTrue(judgement.explanation().startsWith("route reserve failed"), judgement.explanation());
    }

    @Test
    void findsASlowVersion() {
        SequentialAnalyzer judge = SequentialAnalyzer.of(1e-3);
        AnalysisResult judgement = AnalysisResult.SOUND;
        for (int block = 0; block < 10; block++) {
            judgement = judge.judge(block(count("node-1", TO, "reserve", 4, 0, 5), oldCounts(0)));
        }

        assertEquals(AnalysisResult.Finding.FAULTY, judgement.finding());
        assertTrue(judgement.explanation().contains("slower than usual"), judgement.explanation());
    }

    @Test
    void aFaultOfBothVersionsIsNoFaultOfTheNewOne() {
        SequentialAnalyzer judge = SequentialAnalyzer.of(1e-3);
        for (int block = 0; block < 200; block++) {
            boolean outage = block >= 100 && block < 150;
            AnalysisResult judgement = judge.judge(block(
                    count("node-1", TO, "reserve", 5, outage ? 3 : 0, outage ? 6 : 3), oldCounts(outage ? 60 : 0)));
            assertEquals(AnalysisResult.Finding.SOUND, judgement.finding());
        }
    }

    @Test
    void whatGoesWrongOnOneNodeAloneIsNoFaultOfTheVersion() {
        SequentialAnalyzer judge = SequentialAnalyzer.of(1e-3);
        for (int block = 0; block < 200; block++) {
            AnalysisResult judgement = judge.judge(block(
                    count("node-1", TO, "reserve", 5, 4, 7), count("node-2", TO, "reserve", 5, 0, 3), oldCounts(0)));
            assertEquals(AnalysisResult.Finding.SOUND, judgement.finding());
        }
    }

    @Test
    void findsAFaultThatShowsAfterALongSoundTime() {
        SequentialAnalyzer judge = SequentialAnalyzer.of(1e-3);
        for (int block = 0; block < 2_000; block++) {
            judge.judge(block(count("node-1", TO, "reserve", 4, 0, 3), oldCounts(0)));
        }
        AnalysisResult judgement = AnalysisResult.SOUND;
        for (int block = 0; block < 3; block++) {
            judgement = judge.judge(block(count("node-1", TO, "reserve", 4, 4, 3), oldCounts(0)));
        }

        assertEquals(AnalysisResult.Finding.FAULTY, judgement.finding());
    }

    private static boolean findsFaultUnderDrift(final int seed, final double errorRate) {
        SplittableRandom random = new SplittableRandom(seed);
        SequentialAnalyzer judge = SequentialAnalyzer.of(errorRate);
        double rate = 0.01;
        for (int block = 0; block < 150; block++) {
            rate = Math.min(0.7, Math.max(0.001, rate * Math.exp(0.4 * random.nextGaussian())));
            Evidence old = count("node-1", FROM, "reserve", 60, events(random, 60, rate), 3);
            Evidence fresh = count("node-1", TO, "reserve", 10, events(random, 10, rate), 3);
            if (judge.judge(block(old, fresh)).finding() == AnalysisResult.Finding.FAULTY) {
                return true;
            }
        }
        return false;
    }

    private static int events(final SplittableRandom random, final int trials, final double rate) {
        int events = 0;
        for (int trial = 0; trial < trials; trial++) {
            events += random.nextDouble() < rate ? 1 : 0;
        }
        return events;
    }

    private static Evidence oldCounts(final long failures) {
        return count("node-1", FROM, "reserve", 100, failures, failures > 0 ? 6 : 3);
    }

    private static EvidenceBlock block(final Evidence... counts) {
        return new EvidenceBlock(FROM, TO, List.of(counts));
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
