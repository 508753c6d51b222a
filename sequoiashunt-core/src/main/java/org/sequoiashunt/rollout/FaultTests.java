package org.sequoiashunt.rollout;

import java.util.EnumMap;
import java.util.Map;

/**
 * Runs one sequential test per kind of fault over the same calls, and keeps the counts that explain its result.
 *
 * <p>Confined to one thread.
 */
final class FaultTests {

    /** Factor by which the weight of earlier latencies of the old version decreases with each block. */
    private static final double LATENCY_RETENTION_PER_BLOCK = 0.98;

    private final Map<FaultKind, ProportionTest> tests = new EnumMap<>(FaultKind.class);
    private final Map<FaultKind, PairedCounts> countsSinceReset = new EnumMap<>(FaultKind.class);
    private final double[] oldLatencies = new double[Evidence.BUCKETS];
    private double oldCallCount;

    /** Creates tests without any calls. */
    FaultTests() {
        for (FaultKind kind : FaultKind.values()) {
            tests.put(kind, new ProportionTest(kind.tolerance()));
            countsSinceReset.put(kind, PairedCounts.NONE);
        }
    }

    /**
     * Returns an independent copy of these tests in their present state.
     *
     * @return the copy, never null.
     */
    FaultTests copy() {
        FaultTests copy = new FaultTests();
        tests.forEach((kind, test) -> copy.tests.put(kind, test.copy()));
        copy.countsSinceReset.putAll(countsSinceReset);
        System.arraycopy(oldLatencies, 0, copy.oldLatencies, 0, oldLatencies.length);
        copy.oldCallCount = oldCallCount;
        return copy;
    }

    /**
     * Adds a block to each test. Latency is compared with that of the old version's calls in earlier blocks.
     *
     * @param counts the counts of the block, not null.
     */
    void add(final VersionCounts counts) {
        for (FaultKind kind : FaultKind.values()) {
            if (kind == FaultKind.FAILURE || oldCallCount > 0) {
                addEvents(kind, kind.count(counts, oldLatencies));
            }
        }
        for (int bucket = 0; bucket < oldLatencies.length; bucket++) {
            oldLatencies[bucket] *= LATENCY_RETENTION_PER_BLOCK;
        }
        counts.addOldLatencies(oldLatencies);
        oldCallCount += counts.failures().oldTrials();
    }

    /**
     * Returns the natural logarithm of the evidence for one kind of fault.
     *
     * @param kind the kind, not null.
     * @return the logarithm; negative infinity before the first block that has calls of both versions.
     */
    double logEvidence(final FaultKind kind) {
        return tests.get(kind).logEvidence();
    }

    /**
     * Returns the counts of the blocks since the evidence for a fault was last below 1, the value without evidence.
     *
     * @param kind the kind, not null.
     * @return the counts, never null.
     */
    PairedCounts countsSinceReset(final FaultKind kind) {
        return countsSinceReset.get(kind);
    }

    private void addEvents(final FaultKind kind, final PairedCounts events) {
        ProportionTest test = tests.get(kind);
        boolean restarted = test.logEvidence() < 0;
        test.add(events);
        countsSinceReset.put(
                kind, restarted ? events : countsSinceReset.get(kind).plus(events));
    }
}
