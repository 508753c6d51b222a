package org.sequoiashunt.trial.overload;

import java.io.PrintStream;
import java.util.Locale;
import org.sequoiashunt.placement.PlacementPolicy;

/** Runs all policies of placement on the same seeds and prints their figures side by side. Confined to one thread. */
final class PlacementComparison {

    private static final double[] LOADS = {0.7, 0.9, 1.05};
    private static final double PERMILLE = 1_000;

    private final PrintStream out;
    private final long seed;
    private final int runs;

    PlacementComparison(final PrintStream out, final long seed, final int runs) {
        this.out = out;
        this.seed = seed;
        this.runs = runs;
    }

    /** Runs the policies, or only one if it is not null. */
    void run(final PlacementPolicy only) {
        out.println("| deployment | load | placement | spread | wait ms | of it needless | refused in 1,000"
                + " | of it needless | beyond the region | mean ms | served worth |");
        out.println("|---|---|---|---|---|---|---|---|---|---|---|");
        for (double load : LOADS) {
            for (PlacementPolicy placement : PlacementPolicy.values()) {
                if (only == null || only == placement) {
                    print(load, EvenLoadScenarios.plateArchive(load, placement));
                }
            }
        }
        for (double load : LOADS) {
            for (PlacementPolicy placement : PlacementPolicy.values()) {
                if (only == null || only == placement) {
                    print(load, EvenLoadScenarios.pressureLoggers(load, placement));
                }
            }
        }
    }

    private void print(final double load, final LoadScenario scenario) {
        double[] sums = new double[8];
        for (int run = 0; run < runs; run++) {
            LoadStatistics tally = LoadExperiment.run(scenario, seed + run);
            BalanceStatistics balance = tally.balance();
            sums[0] += balance.spread();
            sums[1] += balance.waitMs();
            sums[2] += balance.needlessWaitMs();
            sums[3] += PERMILLE * balance.refusals();
            sums[4] += PERMILLE * balance.needlessRefusals();
            sums[5] += tally.remoteShare();
            sums[6] += tally.meanServedMs();
            sums[7] += tally.servedWorth();
        }
        out.printf(
                Locale.ROOT,
                "| %s | %.2f | %s | %.3f | %.1f | %.1f | %.1f | %.1f | %.3f | %.0f | %.4f |%n",
                scenario.name(),
                load,
                scenario.placement().settingName(),
                sums[0] / runs,
                sums[1] / runs,
                sums[2] / runs,
                sums[3] / runs,
                sums[4] / runs,
                sums[5] / runs,
                sums[6] / runs,
                sums[7] / runs);
    }
}
