package org.sequoiashunt.node.mesh;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.fleet.Evacuation;
import org.sequoiashunt.fleet.EvacuationTable;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.mesh.DesiredState;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.slot.SlotGates;

/**
 * Applies the operator's evacuations, as the store and other nodes report them, to the gates of this node.
 *
 * <p>While a configuration binds requests to regions, the gates are suspended until the orders in force are known: from
 * a complete read of the store, or from a node that knows them. Without such a configuration nothing waits for them. A
 * node that has none yet sends no calls itself, and gets none from nodes that know the orders.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: when a method has returned, the gates are suspended exactly if
 * this node's failure domain is evacuated or the orders in force are needed and not known.
 */
final class EvacuationControl {

    private final String failureDomain;
    private final EvacuationTable table;
    private final SlotGates gates;
    private final ActiveConfiguration configuration;
    private final DecisionLog log;
    private final MeshMetrics metrics;

    EvacuationControl(
            final NodeLocation location,
            final EvacuationTable table,
            final SlotGates gates,
            final ActiveConfiguration configuration,
            final DecisionLog log,
            final MeshMetrics metrics) {
        this.failureDomain = location.failureDomain();
        this.table = Objects.requireNonNull(table, "table");
        this.gates = Objects.requireNonNull(gates, "gates");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Suspends the gates or resumes them after another configuration came into force. */
    synchronized void configurationChanged() {
        updateGates();
    }

    /** Revokes orders that the store has lost; returns whether there were any. */
    synchronized boolean revokeLostOrders() {
        List<Evacuation> revoked = table.revokeLostOrders();
        revoked.forEach(evacuation -> logChange(evacuation, "store"));
        return !revoked.isEmpty() && finish(true, table.reported(), "store");
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
        // A node that needs no orders, and one of an earlier version of this program, never say that they lack them.
        if (report.configurationVersion() > 0 && !report.evacuationsUnknown()) {
            table.markKnown();
        }
        return finish(changed, before, report.node());
    }

    /** Lists the orders and revocations to report to other nodes. */
    List<Evacuation> reported() {
        return table.reported();
    }

    /** Returns whether orders may be in force that this node needs to know and does not. */
    boolean lacksOrders() {
        return configuration.bindsToRegions() && !table.isKnown();
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
        return gates.setSuspended(lacksOrders() || table.isEvacuated(failureDomain));
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
