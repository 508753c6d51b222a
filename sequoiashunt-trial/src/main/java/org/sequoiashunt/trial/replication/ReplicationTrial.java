package org.sequoiashunt.trial.replication;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.sequoiashunt.lead.ReplicaNode;
import org.sequoiashunt.memory.SimulatedCluster;
import org.sequoiashunt.memory.SimulatedNetwork;

/**
 * Measures replication and membership in one process over an in-memory network: messages and estimated bytes, time from
 * a change to the last node, detection, false suspicions, and the return of a herd. Bytes are estimates by {@link
 * org.sequoiashunt.replication.WireSizeEstimator}, with a fixed size for each frame; times are those of a stepped
 * clock, so that the same seed gives the same figures.
 *
 * <p>Arguments: the seed, then the numbers of nodes in one failure domain. Without arguments, seed 1 and 16, 64 and 262
 * nodes.
 *
 * <p>Confined to one thread.
 */
public final class ReplicationTrial {

    private static final List<Integer> SIZES = List.of(16, 64, 262);
    private static final double[] LOSSES = {0, 0.05, 0.2};
    private static final double FROZEN_SHARE = 0.1;
    private static final int CHANGES = 20;
    private static final long REST_MS = 30_000;
    private static final long SETTLE_MS = 5_000;
    private static final long LIMIT_MS = 60_000;
    private static final long SUSPICION_WATCH_MS = 120_000;
    private static final double SECOND_MS = 1_000;

    private final PrintStream output;
    private final long seed;

    private ReplicationTrial(final PrintStream output, final long seed) {
        this.output = output;
        this.seed = seed;
    }

    /**
     * Runs the trial and prints its figures to the standard output.
     *
     * @param arguments the seed and the numbers of nodes, may be empty.
     */
    public static void main(final String[] arguments) {
        run(List.of(arguments), System.out);
    }

    /**
     * Runs the trial.
     *
     * @param arguments the seed and the numbers of nodes, not null, may be empty.
     * @param output takes the figures, not null.
     * @throws NumberFormatException if an argument is not a number.
     */
    public static void run(final List<String> arguments, final PrintStream output) {
        Objects.requireNonNull(output, "output");
        long seed = arguments.isEmpty() ? 1 : Long.parseLong(arguments.get(0));
        List<Integer> sizes = arguments.size() < 2
                ? SIZES
                : arguments.stream().skip(1).map(Integer::valueOf).toList();
        ReplicationTrial trial = new ReplicationTrial(output, seed);
        trial.line("seed %d; bytes are estimates; tick %d ms", seed, SimulatedCluster.TICK_MS);
        sizes.forEach(trial::measure);
        trial.regions();
    }

    private void measure(final int nodes) {
        TrialFleet fleet = TrialFleet.of(nodes, 1, seed);
        line("%n== %d nodes in one failure domain, 230 services", nodes);
        rest(fleet);
        for (double loss : LOSSES) {
            fleet.cluster().network().setFaults(loss, 0, 0);
            changes(
                    fleet,
                    "small entry, loss " + percent(loss),
                    false,
                    fleet.cluster().nodes());
        }
        fleet.cluster().network().setFaults(0, 0, 0);
        changes(fleet, "commit of one service", true, fleet.cluster().nodes());
        frozen(fleet);
        detection(fleet);
        for (double loss : LOSSES) {
            falseSuspicions(fleet, loss);
        }
        fleet.cluster().network().setFaults(0, 0, 0);
        herd(fleet);
    }

    private void rest(final TrialFleet fleet) {
        fleet.cluster().run(SETTLE_MS);
        fleet.cluster().network().resetTraffic();
        long calls = fleet.cluster().store().callCount();
        fleet.cluster().run(REST_MS);
        SimulatedNetwork.Traffic traffic = fleet.traffic();
        double nodeSeconds = fleet.identities().size() * REST_MS / SECOND_MS;
        line(
                "at rest: %.1f messages, %.0f bytes sent and %.0f received per node and second; busiest node %.0f both"
                        + " ways; %.2f store calls a second",
                traffic.sentMessages() / nodeSeconds,
                traffic.sentBytes() / nodeSeconds,
                traffic.receivedBytes() / nodeSeconds,
                fleet.largestBytes() * SECOND_MS / REST_MS,
                (fleet.cluster().store().callCount() - calls) * SECOND_MS / REST_MS);
    }

    /** Makes changes one after the other and prints the time to the last node and the bytes above those at rest. */
    private void changes(
            final TrialFleet fleet, final String title, final boolean commit, final Iterable<ReplicaNode> watched) {
        List<ReplicaNode> nodes = new ArrayList<>();
        watched.forEach(nodes::add);
        fleet.cluster().run(2 * SETTLE_MS);
        long restBytes = bytes(fleet, () -> {});
        List<Long> times = new ArrayList<>();
        long changeBytes = 0;
        int failed = 0;
        for (int change = 0; change < CHANGES; change++) {
            fleet.cluster().network().resetTraffic();
            long sinceMs = fleet.cluster().clock().nowMs();
            Optional<Long> tookMs = change(fleet, title + " " + change, commit, nodes);
            tookMs.ifPresent(times::add);
            failed += tookMs.isEmpty() ? 1 : 0;
            long leftMs = SETTLE_MS - (fleet.cluster().clock().nowMs() - sinceMs);
            fleet.cluster().run(Math.max(0, leftMs));
            changeBytes += fleet.traffic().sentBytes();
        }
        times.sort(null);
        long perNode = (changeBytes / CHANGES - restBytes) / fleet.identities().size();
        line(
                "%s: last node after %d ms median, %d ms worst (%d rounds); %d bytes sent per node and change; %d of %d"
                        + " did not arrive",
                title, median(times), worst(times), worst(times) / SimulatedCluster.TICK_MS, perNode, failed, CHANGES);
    }

    private Optional<Long> change(
            final TrialFleet fleet, final String name, final boolean commit, final List<ReplicaNode> nodes) {
        if (commit) {
            fleet.commit(List.of("service-7"));
            return fleet.cluster().runUntil(() -> nodes.stream().allMatch(fleet::isInForce), LIMIT_MS);
        }
        fleet.write(Math.floorMod(name.hashCode(), fleet.identities().size()), name);
        return fleet.cluster().runUntil(() -> fleet.allHave(nodes, name), LIMIT_MS);
    }

    private long bytes(final TrialFleet fleet, final Runnable change) {
        fleet.cluster().network().resetTraffic();
        change.run();
        fleet.cluster().run(SETTLE_MS);
        return fleet.traffic().sentBytes();
    }

    private void frozen(final TrialFleet fleet) {
        int frozen = (int) (fleet.identities().size() * FROZEN_SHARE);
        List<String> names = fleet.identities().subList(1, 1 + frozen).stream()
                .map(identity -> identity.node())
                .toList();
        names.forEach(fleet.cluster()::freeze);
        List<ReplicaNode> awake = new ArrayList<>(fleet.cluster().nodes());
        names.forEach(name -> awake.remove(fleet.cluster().node(name)));
        fleet.write(0, "frozen");
        Optional<Long> tookMs = fleet.cluster().runUntil(() -> fleet.allHave(awake, "frozen"), LIMIT_MS);
        fleet.cluster().run(2 * SETTLE_MS);
        names.forEach(fleet.cluster()::thaw);
        Optional<Long> backMs =
                fleet.cluster().runUntil(() -> fleet.allKnow(fleet.identities().size()), LIMIT_MS);
        line("%d frozen: last node awake after %s ms; all back %s ms after waking", frozen, text(tookMs), text(backMs));
        fleet.cluster().run(SETTLE_MS);
    }

    private void detection(final TrialFleet fleet) {
        int size = fleet.identities().size();
        List<Long> first = new ArrayList<>();
        List<Long> last = new ArrayList<>();
        for (int victim = 0; victim < 5; victim++) {
            fleet.cluster().kill(fleet.identities().get(size - 1).node());
            BooleanSupplier any =
                    () -> fleet.cluster().nodes().stream().anyMatch(node -> TrialFleet.present(node) < size);
            long firstMs = fleet.cluster().runUntil(any, LIMIT_MS).orElse(LIMIT_MS);
            first.add(firstMs);
            last.add(firstMs
                    + fleet.cluster()
                            .runUntil(() -> fleet.allKnow(size - 1), LIMIT_MS)
                            .orElse(LIMIT_MS));
            fleet.cluster().start(fleet.identities().get(size - 1));
            fleet.awaitReady();
            fleet.cluster().run(SETTLE_MS);
        }
        first.sort(null);
        last.sort(null);
        line(
                "killed node: gone at the first node after %d ms median, at the last after %d ms median, %d ms worst",
                median(first), median(last), worst(last));
    }

    private void falseSuspicions(final TrialFleet fleet, final double loss) {
        fleet.cluster().network().setFaults(loss, 0, 0);
        long before = fleet.sequences();
        int size = fleet.identities().size();
        long[] absent = {0};
        for (long passedMs = 0; passedMs < SUSPICION_WATCH_MS; passedMs += SimulatedCluster.TICK_MS) {
            fleet.cluster().run(SimulatedCluster.TICK_MS);
            absent[0] += fleet.allKnow(size) ? 0 : 1;
        }
        line(
                "loss %s: %d suspicions refuted in %d s; a living node was gone somewhere in %d of %d samples",
                percent(loss),
                fleet.sequences() - before,
                SUSPICION_WATCH_MS / 1_000,
                absent[0],
                SUSPICION_WATCH_MS / SimulatedCluster.TICK_MS);
    }

    private void herd(final TrialFleet fleet) {
        fleet.identities().forEach(identity -> fleet.cluster().kill(identity.node()));
        fleet.cluster().run(SETTLE_MS);
        fleet.identities().forEach(fleet.cluster()::start);
        long peak = 0;
        long total = 0;
        long readyMs = 0;
        while (readyMs < LIMIT_MS
                && !(fleet.allInForce() && fleet.allKnow(fleet.identities().size()))) {
            long before = fleet.cluster().store().callCount();
            fleet.cluster().run((long) SECOND_MS);
            long calls = fleet.cluster().store().callCount() - before;
            peak = Math.max(peak, calls);
            total += calls;
            readyMs += (long) SECOND_MS;
        }
        line(
                "herd of all nodes: all serve after %d ms; peak %d store calls in a second, %d in all",
                readyMs, peak, total);
    }

    private void regions() {
        int nodes = 64;
        TrialFleet fleet = TrialFleet.of(nodes, 4, seed);
        line("%n== %d nodes in 4 failure domains of 2 regions", nodes);
        rest(fleet);
        changes(fleet, "small entry", false, fleet.cluster().nodes());
        changes(fleet, "commit of one service", true, fleet.cluster().nodes());
    }

    private static long median(final List<Long> sorted) {
        return sorted.isEmpty() ? -1 : sorted.get(sorted.size() / 2);
    }

    private static long worst(final List<Long> sorted) {
        return sorted.isEmpty() ? -1 : sorted.get(sorted.size() - 1);
    }

    private static String text(final Optional<Long> valueMs) {
        return valueMs.map(String::valueOf).orElse("more than " + LIMIT_MS);
    }

    private static String percent(final double share) {
        return Math.round(share * 100) + " %";
    }

    private void line(final String format, final Object... values) {
        output.println(String.format(Locale.ROOT, format, values));
    }
}
