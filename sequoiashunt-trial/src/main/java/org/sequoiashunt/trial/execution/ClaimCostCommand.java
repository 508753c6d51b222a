package org.sequoiashunt.trial.execution;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Prints what claims cost with several guards, with one guard, and with a write to the store for each call.
 *
 * <p>Confined to one thread.
 */
@Parameters(commandDescription = "Cost of claims: messages, bytes, added time, refusals")
public final class ClaimCostCommand {

    private static final int ROSTER = 5;
    private static final int SMALLER_SIDE = 3;
    private static final long WARM_UP_MS = 30_000;
    private static final long LOAD_MS = 30_000;
    private static final double STORE_WRITES_PER_SECOND = 400;
    private static final double STORE_ANSWER_MS = 3;
    private static final int STORE_CALLS = 50_000;
    private static final double STORE_TIMEOUT_MS = 2_000;

    @Parameter(names = "--seed", description = "Seed of everything random")
    private long seed = 1;

    /**
     * Runs the command.
     *
     * @param out where the report goes, not null.
     * @return zero.
     */
    public int run(final PrintStream out) {
        scenario("healthy", ROSTER, model -> {}, out);
        scenario("one guard just died", ROSTER, model -> model.guards().get(0).kill(), out);
        scenario(
                "one guard died, replaced",
                ROSTER,
                model -> {
                    model.guards().get(0).kill();
                    model.pass(60_000);
                },
                out);
        split("split 7:3, larger side", true, out);
        split("split 7:3, smaller side", false, out);
        scenario("all guards restarted empty", ROSTER, model -> model.guards().forEach(ModelNode::start), out);
        scenario("one guard only, healthy", 1, model -> {}, out);
        scenario(
                "one guard only, it just died",
                1,
                model -> model.guards().get(0).kill(),
                out);
        firstSeconds(out);
        heartbeats(5, out);
        heartbeats(7, out);
        for (double rate : new double[] {100, 300, 380, 500}) {
            storeClaims(rate, out);
        }
        LedgerMemory.print(out);
        return 0;
    }

    /**
     * Runs the command alone.
     *
     * @param arguments the arguments, not null.
     */
    public static void main(final String[] arguments) {
        ClaimCostCommand command = new ClaimCostCommand();
        JCommander.newBuilder().addObject(command).build().parse(arguments);
        System.exit(command.run(System.out));
    }

    private void scenario(
            final String title, final int rosterSize, final Consumer<ClaimCostModel> fault, final PrintStream out) {
        ClaimCostModel model = new ClaimCostModel(seed, rosterSize);
        model.pass(WARM_UP_MS);
        fault.accept(model);
        model.pass(10_000);
        out.printf(Locale.ROOT, "%-32s %s%n", title, model.claimFor(LOAD_MS).describe());
    }

    private void split(final String title, final boolean largerSide, final PrintStream out) {
        ClaimCostModel model = new ClaimCostModel(seed, ROSTER);
        model.pass(WARM_UP_MS);
        model.split(SMALLER_SIDE);
        model.pass(10_000);
        int nodes = model.nodes().size();
        model.useEntries(largerSide ? SMALLER_SIDE : 0, largerSide ? nodes : SMALLER_SIDE);
        out.printf(Locale.ROOT, "%-32s %s%n", title, model.claimFor(LOAD_MS).describe());
        model.pass(ClaimCostModel.TIMING.retentionMs());
        out.printf(
                Locale.ROOT,
                "%-32s %s%n",
                "  one window later",
                model.claimFor(LOAD_MS).describe());
    }

    private void firstSeconds(final PrintStream out) {
        ClaimCostModel model = new ClaimCostModel(seed, ROSTER);
        out.printf(
                Locale.ROOT,
                "%-32s %s%n",
                "first 10 s of an empty group",
                model.claimFor(10_000).describe());
        out.printf(
                Locale.ROOT,
                "%-32s %s%n",
                "next 30 s of the group",
                model.claimFor(LOAD_MS).describe());
    }

    private void heartbeats(final int rosterSize, final PrintStream out) {
        ClaimCostModel model = new ClaimCostModel(seed, rosterSize);
        model.pass(WARM_UP_MS);
        ClaimCost cost = model.claimFor(0);
        String line = cost.describeHeartbeats(rosterSize, ClaimCostModel.CALL_MS);
        out.printf(Locale.ROOT, "%-32s %s%n", "heartbeats", line);
    }

    /** Queue in front of a store that serves writes one after another, fed at random times. */
    private void storeClaims(final double rate, final PrintStream out) {
        java.util.Random random = new java.util.Random(seed);
        ClaimCost cost = new ClaimCost();
        double nowMs = 0;
        double freeMs = 0;
        for (int index = 0; index < STORE_CALLS; index++) {
            nowMs -= Math.log(1 - random.nextDouble()) * 1_000 / rate;
            cost.asked();
            double startMs = Math.max(nowMs, freeMs);
            if (startMs - nowMs > STORE_TIMEOUT_MS) {
                cost.refused();
                continue;
            }
            freeMs = startMs + 1_000 / STORE_WRITES_PER_SECOND;
            cost.granted(Math.round(freeMs - nowMs + STORE_ANSWER_MS));
        }
        String title = String.format(Locale.ROOT, "store write a call, %.0f calls/s", rate);
        out.printf(Locale.ROOT, "%-32s %s%n", title, cost.describe());
    }
}
