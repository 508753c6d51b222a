package org.sequoiashunt.trial.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.ReportBatch;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.Distance;
import org.sequoiashunt.placement.NodeLocation;

/** Links between nodes that only take time. Confined to one thread. */
final class SimulatedLinks {

    /** One way, in milliseconds: within a failure domain, between two of a region, between regions. */
    private static final long DOMAIN_MS = 1;

    private static final long REGION_MS = 2;
    private static final long REMOTE_MS = 31;

    /** Time for which a report from another failure domain is on its way, if reports are relayed. */
    private static final long RELAYED_MS = 1_000;

    private final EventQueue events;
    private final boolean aged;
    private final List<SimulatedNode> nodes = new ArrayList<>();

    SimulatedLinks(final EventQueue events, final boolean aged) {
        this.events = events;
        this.aged = aged;
    }

    void add(final SimulatedNode node) {
        nodes.add(node);
    }

    List<SimulatedNode> nodes() {
        return nodes;
    }

    CompletableFuture<CallResult> call(final NodeLocation from, final NodeAddress gate, final CallRequest request) {
        SimulatedNode receiver = nodes.stream()
                .filter(node -> node.place().address().equals(gate))
                .findFirst()
                .orElseThrow();
        long delayMs = delayMs(from, receiver.place());
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        events.after(delayMs, () -> {
            CompletableFuture<CallResult> run = receiver.handle(request);
            run.thenAccept(ended -> events.after(delayMs, () -> result.complete(ended)));
            result.whenComplete((ended, failure) -> {
                if (failure != null) {
                    events.after(delayMs, () -> run.cancel(true));
                }
            });
        });
        return result;
    }

    /** Delivers the report of a node to all others. */
    void report(final SimulatedNode from) {
        NodeReport report = from.report();
        for (SimulatedNode node : nodes) {
            if (node != from) {
                long delayMs = delayMs(from.place(), node.place());
                boolean relayed = aged
                        && !from.place().failureDomain().equals(node.place().failureDomain());
                if (relayed) {
                    ReportBatch.RelayedReport late = new ReportBatch.RelayedReport(report, RELAYED_MS);
                    events.after(delayMs + RELAYED_MS, () -> node.acceptRelayed(late));
                } else {
                    events.after(delayMs, () -> node.accept(report));
                }
            }
        }
    }

    /** Returns whether another target of the same service and region has a free slot and no call that waits for it. */
    boolean hasRoom(final SimulatedNode refusing) {
        BalanceStatistics.TargetState full = refusing.state();
        for (SimulatedNode node : nodes) {
            BalanceStatistics.TargetState state = node.state();
            if (node != refusing
                    && state.service().equals(full.service())
                    && state.region().equals(full.region())
                    && state.running() + state.waiting() < state.slots()) {
                return true;
            }
        }
        return false;
    }

    private static long delayMs(final NodeLocation from, final NodeLocation to) {
        boolean sameNode = from.node().equals(to.node());
        boolean sameDomain = from.failureDomain().equals(to.failureDomain());
        return switch (Distance.of(sameNode, sameDomain, from.region().equals(to.region()))) {
            case NODE -> 0;
            case DOMAIN -> DOMAIN_MS;
            case REGION -> REGION_MS;
            case REMOTE -> REMOTE_MS;
        };
    }
}
