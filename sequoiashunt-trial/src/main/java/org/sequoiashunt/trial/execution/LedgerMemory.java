package org.sequoiashunt.trial.execution;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.execution.ClaimCapacity;
import org.sequoiashunt.execution.ClaimGuard;
import org.sequoiashunt.execution.ClaimKey;
import org.sequoiashunt.execution.ClaimRequest;
import org.sequoiashunt.execution.ClaimRule;
import org.sequoiashunt.execution.ClaimTiming;
import org.sequoiashunt.execution.ControlMessenger;
import org.sequoiashunt.execution.GuardState;
import org.sequoiashunt.execution.Roster;
import org.sequoiashunt.time.SteppedClock;

/**
 * Measures the heap that a full ledger of claims takes. Not instantiable.
 */
final class LedgerMemory {

    private static final int CLAIMS = 100_000;

    private LedgerMemory() {}

    /**
     * Fills a guard and prints what it holds.
     *
     * @param out where the figures go, not null.
     */
    static void print(final PrintStream out) {
        SteppedClock clock = SteppedClock.of(1);
        ClaimTiming timing = ClaimTiming.defaults();
        GuardState standing = new GuardState("node1", "group", clock, timing, ClaimRule.all());
        standing.recordStoreRead(Optional.empty());
        standing.adopt(new Roster("group", 1, List.of("node1")));
        ClaimGuard guard = new ClaimGuard(
                "node1",
                standing,
                new Blackboard(),
                clock,
                timing,
                ClaimCapacity.defaults(),
                ClaimRule.all(),
                new ControlMessenger((address, message) -> {}, node -> Optional.empty()));
        long beforeBytes = usedBytes();
        long startNs = System.nanoTime();
        for (int index = 0; index < CLAIMS; index++) {
            String attempt = "node1-" + index;
            guard.receive("node1", new ClaimRequest("group", 1, ClaimKey.of("service", attempt), attempt, 1_000));
        }
        long perClaimNs = (System.nanoTime() - startNs) / CLAIMS;
        long usedBytes = usedBytes() - beforeBytes;
        int claims = guard.claimCount();
        out.printf(
                Locale.ROOT,
                "%d claims in one guard: %d bytes of heap, %d a claim, %d ns to answer one%n",
                claims,
                usedBytes,
                usedBytes / Math.max(1, claims),
                perClaimNs);
    }

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
