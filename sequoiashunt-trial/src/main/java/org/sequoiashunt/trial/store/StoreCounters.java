package org.sequoiashunt.trial.store;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the calls received by the fake store, refused ones included. Thread-safe.
 */
final class StoreCounters {

    private final LongAdder reads = new LongAdder();
    private final LongAdder watches = new LongAdder();
    private final LongAdder writes = new LongAdder();
    private final LongAdder leases = new LongAdder();
    private final LongAdder conflicts = new LongAdder();
    private final LongAdder rateRefusals = new LongAdder();
    private final LongAdder outageRefusals = new LongAdder();

    void count(final CallKind kind) {
        switch (kind) {
            case READ -> reads.increment();
            case WATCH -> watches.increment();
            case WRITE -> writes.increment();
            case LEASE -> leases.increment();
            default -> throw new IllegalArgumentException("unknown kind: " + kind);
        }
    }

    void countConflict() {
        conflicts.increment();
    }

    void countRateRefusal() {
        rateRefusals.increment();
    }

    void countOutageRefusal() {
        outageRefusals.increment();
    }

    StoreCounts counts() {
        return new StoreCounts(
                reads.sum(),
                watches.sum(),
                writes.sum(),
                leases.sum(),
                conflicts.sum(),
                rateRefusals.sum(),
                outageRefusals.sum());
    }
}
