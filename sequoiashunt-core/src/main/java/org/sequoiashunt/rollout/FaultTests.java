package org.sequoiashunt.rollout;

import java.util.EnumMap;
import java.util.Map;

/**
 * One sequential test per kind of fault over the same calls, with the counts that speak for themselves.
 *
 * <p>Confined to one thread.
 */
final class FaultTests {

    private static final double LATENCY_MEMORY = 0.98;

    private final Map<FaultKind, ProportionTest> tests = new EnumMap<>(FaultKind.class);
    private final Map<FaultKind, PairedCounts> suspicious = new EnumMap<>(FaultKind.class);
    private final double[] oldLatencies = new double[Evidence.BUCKETS];
    private double oldCalls;

    /** Creates tests that have seen nothing. */
    FaultTests() {
        for (FaultKind kind : FaultKind.values()) {
            tests.put(kind, new ProportionTest(kind.tolerance()));
            suspicious.put(kind, PairedCounts.NONE);
        }
    }

    /**
     * Returns tests in the same state that go their own way from here.
     *
     * @return the copy, never null.
     */
    FaultTests copy() {
        FaultTests copy = new FaultTests();
        tests.forEach((kind, test) -> copy.tests.put(kind, test.copy()));
        copy.suspicious.putAll(suspicious);
        System.arraycopy(oldLatencies, 0, copy.oldLatencies, 0, oldLatencies.length);
        copy.oldCalls = oldCalls;
        return copy;
    }

    /**
     * Takes in a block.
     *
     * @param counts the counts of the block, not null.
     */
    void add(final VersionCounts counts) {
        for (FaultKind kind : FaultKind.values()) {
            if (kind == FaultKind.FAILURE || oldCalls > 0) {
                addEvents(kind, kind.count(counts, oldLatencies));
            }
        }
        for (int bucket = 0; bucket < oldLatencies.length; bucket++) {
            oldLatencies[bucket] *= LATENCY_MEMORY;
        }
        counts.addOldLatencies(oldLatencies);
        oldCalls += counts.failures().oldTrials();
    }

    /**
     * Returns the natural logarithm of the evidence for one kind of fault.
     *
     * @param kind the kind, not null.
     * @return the logarithm.
     */
    double logEvidence(final FaultKind kind) {
        return tests.get(kind).logEvidence();
    }

    /**
     * Returns the counts since the evidence for a fault last started from nothing.
     *
     * @param kind the kind, not null.
     * @return the counts, never null.
     */
    PairedCounts suspicious(final FaultKind kind) {
        return suspicious.get(kind);
    }

    private void addEvents(final FaultKind kind, final PairedCounts events) {
        ProportionTest test = tests.get(kind);
        boolean afresh = test.logEvidence() < 0;
        test.add(events);
        suspicious.put(kind, afresh ? events : suspicious.get(kind).plus(events));
    }
}
