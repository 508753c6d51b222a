package org.sequoiashunt.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.sequoiashunt.gate.NodeGate;
import org.sequoiashunt.lead.ReplicaNode;
import org.sequoiashunt.link.LinkCounters;

/**
 * Holds the metrics of one node and converts them for the metrics page.
 *
 * <p>Thread-safe.
 */
final class NodeMetrics {

    private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double MEDIAN_QUANTILE = 0.5;
    private static final double QUANTILE_99 = 0.99;

    private final MetricRegistry registry = new MetricRegistry();
    private final CallMetrics callMetrics = new CallMetrics(registry);

    CallMetrics callMetrics() {
        return callMetrics;
    }

    /** Registers the gauges of the node's components. Must be called only once. */
    void registerGauges(
            final ControlLoop loop, final NodeGate gate, final ReplicaNode replica, final LinkCounters counters) {
        registerGauge("control.messages.dropped", loop::droppedCount);
        registerGauge("control.failures", loop::failureCount);
        registerGauge("gate.load", gate::load);
        registerGauge("configuration.version", () -> replica.configuration().versionInForce());
        registerGauge("lead.held", () -> replica.lease().isHeld() ? 1 : 0);
        for (LinkCounters.Count count : LinkCounters.Count.values()) {
            registerGauge("link." + count.label(), () -> counters.read(count));
        }
    }

    private void registerGauge(final String name, final Gauge<Number> gauge) {
        registry.register(name, gauge);
    }

    /** Returns all metrics, ordered by name. Times are in milliseconds. */
    Map<String, Object> read() {
        Map<String, Object> values = new TreeMap<>();
        registry.getMetrics().forEach((name, metric) -> values.put(name, valueOf(metric)));
        return values;
    }

    private static Object valueOf(final Metric metric) {
        if (metric instanceof Timer timer) {
            return timerValues(timer);
        }
        if (metric instanceof Meter meter) {
            return meter.getCount();
        }
        return ((Gauge<?>) metric).getValue();
    }

    private static Map<String, Object> timerValues(final Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("count", timer.getCount());
        values.put("p50Ms", snapshot.getValue(MEDIAN_QUANTILE) / NANOS_PER_MS);
        values.put("p99Ms", snapshot.getValue(QUANTILE_99) / NANOS_PER_MS);
        return values;
    }
}
