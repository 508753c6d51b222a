package org.sequoiashunt.node;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;

/**
 * Counts callers' requests by outcome and reason, and times them.
 *
 * <p>Thread-safe.
 */
public final class CallMetrics {

    private final Timer duration;
    private final Map<Outcome, Meter> outcomes = new EnumMap<>(Outcome.class);
    private final Map<Reason, Meter> reasons = new EnumMap<>(Reason.class);

    /**
     * Creates the metrics.
     *
     * @param registry the registry for the metrics, not null.
     */
    public CallMetrics(final MetricRegistry registry) {
        Objects.requireNonNull(registry, "registry");
        this.duration = registry.timer("calls.duration");
        for (Outcome outcome : Outcome.values()) {
            outcomes.put(outcome, registry.meter("calls.outcome." + outcome.headerValue()));
        }
        for (Reason reason : Reason.values()) {
            reasons.put(reason, registry.meter("calls.reason." + reason.text().replace(' ', '-')));
        }
    }

    /**
     * Records the end of a call.
     *
     * @param result the result of the call, not null.
     * @param durationNanos the duration of the call, in nanoseconds.
     */
    public void callEnded(final CallResult result, final long durationNanos) {
        duration.update(durationNanos, TimeUnit.NANOSECONDS);
        outcomes.get(result.outcome()).mark();
        reasons.get(result.reason()).mark();
    }
}
