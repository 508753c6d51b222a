package org.sequoiashunt.node.mesh;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.ConcurrentHistogram;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.mesh.MeshRoute;

/**
 * Counters and latency histograms of a node, as text for scrapers.
 *
 * <p>Thread-safe. Invariant: the number of histograms is bounded by the routes that have had requests.
 */
public final class MeshMetrics {

    private static final int MAXIMUM_ROUTES = 64;
    private static final int DIGITS = 2;
    private static final long LONGEST_MS = 600_000;
    private static final double[] PERCENTILES = {50, 90, 99, 100};

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, ConcurrentHistogram> latencies = new ConcurrentHashMap<>();

    void ended(final MeshRoute route, final CallResult result, final long durationMs) {
        String status =
                result.answer().map(answer -> Integer.toString(answer.status())).orElse("none");
        count("requests_ended{route=\"" + route.name() + "\",outcome=\""
                + result.outcome().headerValue() + "\",reason=\"" + label(result.reason()) + "\",status=\"" + status
                + "\"}");
        if (latencies.size() < MAXIMUM_ROUTES || latencies.containsKey(route.name())) {
            latencies
                    .computeIfAbsent(route.name(), unused -> new ConcurrentHistogram(LONGEST_MS, DIGITS))
                    .recordValue(Math.max(0, Math.min(LONGEST_MS, durationMs)));
        }
    }

    void callerLeft(final MeshRoute route) {
        count("callers_left{route=\"" + route.name() + "\"}");
    }

    void refused(final Reason reason) {
        count("requests_unmatched{reason=\"" + label(reason) + "\"}");
    }

    private static String label(final Reason reason) {
        return reason.text().replace(' ', '-');
    }

    /**
     * Counts an event.
     *
     * @param name the name of the counter with its labels, not null.
     */
    public void count(final String name) {
        registry.counter(Objects.requireNonNull(name, "name")).inc();
    }

    /**
     * Writes all figures.
     *
     * @return one figure a line, never null.
     */
    public String text() {
        StringBuilder text = new StringBuilder();
        registry.getCounters()
                .forEach((name, counter) -> text.append("sequoiashunt_")
                        .append(name)
                        .append(' ')
                        .append(counter.getCount())
                        .append('\n'));
        latencies.forEach((route, histogram) -> {
            for (double percentile : PERCENTILES) {
                text.append("sequoiashunt_request_ms{route=\"")
                        .append(route)
                        .append("\",percentile=\"")
                        .append((int) percentile)
                        .append("\"} ")
                        .append(histogram.getValueAtPercentile(percentile))
                        .append('\n');
            }
        });
        return text.toString();
    }
}
