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
 * Counters and latency histograms of a node, exported as text for metrics scrapers.
 *
 * <p>Thread-safe. Invariant: at most one histogram exists per route that has had requests; once their number
 * has reached its limit, further routes get none.
 */
public final class MeshMetrics {

    private static final int MAXIMUM_ROUTES = 64;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final long MAXIMUM_LATENCY_MS = 600_000;
    private static final double[] PERCENTILES = {50, 90, 99, 100};

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, ConcurrentHistogram> latencies = new ConcurrentHashMap<>();

    void recordResult(final MeshRoute route, final CallResult result, final long durationMs) {
        String status = result.response()
                .map(answer -> Integer.toString(answer.status()))
                .orElse("none");
        count("requests_ended{route=\"" + route.name() + "\",outcome=\""
                + result.outcome().headerValue() + "\",reason=\"" + labelValue(result.reason()) + "\",status=\""
                + status
                + "\"}");
        if (latencies.size() < MAXIMUM_ROUTES || latencies.containsKey(route.name())) {
            latencies
                    .computeIfAbsent(
                            route.name(), unused -> new ConcurrentHistogram(MAXIMUM_LATENCY_MS, SIGNIFICANT_DIGITS))
                    .recordValue(Math.max(0, Math.min(MAXIMUM_LATENCY_MS, durationMs)));
        }
    }

    void countCallerDisconnect(final MeshRoute route) {
        count("callers_left{route=\"" + route.name() + "\"}");
    }

    /** Counts a step of a request that is read ahead: read, used or discarded. */
    void countReadAhead(final MeshRoute route, final String step) {
        count("requests_read_ahead{route=\"" + route.name() + "\",step=\"" + step + "\"}");
    }

    void countUnmatched(final Reason reason) {
        count("requests_unmatched{reason=\"" + labelValue(reason) + "\"}");
    }

    void countRefusedInput(final String listener, final String reason) {
        count("input_refused{listener=\"" + listener + "\",reason=\"" + reason + "\"}");
    }

    private static String labelValue(final Reason reason) {
        return reason.text().replace(' ', '-');
    }

    /**
     * Increments a counter by one; creates it if it does not exist.
     *
     * @param name the name of the counter with its labels, without the prefix of exported names, not null.
     */
    public void count(final String name) {
        registry.counter(Objects.requireNonNull(name, "name")).inc();
    }

    /**
     * Formats all counters and latency percentiles.
     *
     * @return one metric per line, latencies in milliseconds, never null; empty if nothing was recorded.
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
