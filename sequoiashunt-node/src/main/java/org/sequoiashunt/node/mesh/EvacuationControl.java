package org.sequoiashunt.node.mesh;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.fleet.Evacuation;
import org.sequoiashunt.fleet.EvacuationTable;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.mesh.DesiredState;
import org.sequoiashunt.slot.SlotGates;

/**
 * Applies the operator's evacuations, as the store and other nodes report them, to the gates of this node.
 *
 * <p>A process that has just started suspends its gates until it knows the orders in force.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: when a method has returned, the gates are suspended exactly if
 * this node's failure domain is evacuated or the orders in force are not known.
 */
final class EvacuationControl {

    private final String failureDomain;
    private final EvacuationTable table;
    private final SlotGates gates;
    private final DecisionLog log;
    private final MeshMetrics metrics;

    EvacuationControl(
            final String failureDomain,
            final EvacuationTable table,
            final SlotGates gates,
            final DecisionLog log,
            final MeshMetrics metrics) {
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
        this.table = Objects.requireNonNull(table, "table");
        this.gates = Objects.requireNonNull(gates, "gates");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        updateGates();
    }

    /** Applies what the store says; returns whether an order was new or revoked, or the gates changed. */
    synchronized boolean apply(final DesiredState state) {
        List<Evacuation> before = table.reported();
        boolean changed = false;
        if (state.complete()) {
            changed = table.mergeComplete(state.evacuations(), state.revision());
        } else {
            for (Evacuation evacuation : state.evacuations()) {
                changed |= table.merge(evacuation);
            }
        }
        return finish(changed, before, "store");
    }

    /** Applies the report of another node; returns whether an order was new or revoked, or the gates changed. */
    synchronized boolean apply(final NodeReport report) {
        List<Evacuation> before = table.reported();
        boolean changed = false;
        for (Evacuation evacuation : report.evacuations()) {
            changed |= table.merge(evacuation);
        }
        if (report.configurationVersion() > 0) {
            table.markKnown();
        }
        return finish(changed, before, report.node());
    }

    /** Lists the orders and revocations to report to other nodes. */
    List<Evacuation> reported() {
        return table.reported();
    }

    private boolean finish(final boolean changed, final List<Evacuation> before, final String source) {
        boolean gatesChanged = updateGates();
        if (changed) {
            table.reported().stream()
                    .filter(evacuation -> !before.contains(evacuation))
                    .forEach(evacuation -> logChange(evacuation, source));
        }
        return changed || gatesChanged;
    }

    private boolean updateGates() {
        return gates.setSuspended(!table.isKnown() || table.isEvacuated(failureDomain));
    }

    private void logChange(final Evacuation evacuation, final String source) {
        String change = evacuation.active() ? "ordered" : "revoked";
        metrics.count("evacuations{change=\"" + change + "\"}");
        log.log(
                LogKind.EVACUATION,
                "failureDomain",
                evacuation.failureDomain(),
                "change",
                change,
                "revision",
                evacuation.revision(),
                "source",
                source,
                "ownDomain",
                evacuation.failureDomain().equals(failureDomain));
    }
}
