package org.sequoiashunt.trial.measurement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.http.HttpRequest;
import org.sequoiashunt.http.PooledHttpClient;
import org.sequoiashunt.node.CallHeaders;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.trial.target.FakeTarget;

/**
 * Requests to one address, timed from the moment at which each was due, so that a late start counts as delay.
 *
 * <p>Thread-safe.
 */
final class RequestSeries {

    private static final long MAXIMUM_MICROS = 60_000_000;
    private static final int DIGITS = 3;
    private static final long TIMEOUT_MS = 10_000;
    private static final double MICROS_PER_MS = 1_000;

    private final String name;
    private final PooledHttpClient exchanger;
    private final NodeAddress address;
    private final HttpRequest request;
    private final Histogram micros = new ConcurrentHistogram(MAXIMUM_MICROS, DIGITS);
    private final AtomicLong failures = new AtomicLong();

    RequestSeries(
            final String name, final PooledHttpClient exchanger, final NodeAddress address, final String service) {
        this.name = Objects.requireNonNull(name, "name");
        this.exchanger = Objects.requireNonNull(exchanger, "exchanger");
        this.address = Objects.requireNonNull(address, "address");
        List<HeaderField> headers = new ArrayList<>();
        headers.add(new HeaderField(CallHeaders.SERVICE, service));
        headers.add(new HeaderField(FakeTarget.REQUEST_NAME_HEADER, name));
        this.request = new HttpRequest("GET", "/lookup/1", headers, Body.EMPTY, true);
    }

    /** Sends one request that was due at the time given. */
    void send(final long dueNanos) {
        exchanger.send(address, request, TIMEOUT_MS).whenComplete((answer, failure) -> {
            if (failure != null || answer.status() != 200) {
                failures.incrementAndGet();
            }
            long passedMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
            micros.recordValue(Math.min(MAXIMUM_MICROS, Math.max(0, passedMicros)));
        });
    }

    void reset() {
        micros.reset();
        failures.set(0);
    }

    double percentileMs(final double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MS;
    }

    long count() {
        return micros.getTotalCount();
    }

    long failures() {
        return failures.get();
    }

    String name() {
        return name;
    }
}
