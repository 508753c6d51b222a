package org.sequoiashunt.trial.store;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import org.sequoiashunt.commit.StoreProtocol;
import org.sequoiashunt.http.Timers;
import org.sequoiashunt.time.Clock;

/**
 * Counts each call to the store, refuses it during an outage or above the rate limit, and otherwise
 * applies the latency that is set.
 *
 * <p>Thread-safe; calls run on the I/O thread of their connection.
 */
final class AdmissionControl {

    private static final int RETRY_AFTER_SECONDS = 1;

    private final StoreFaults faults;
    private final StoreCounters counters;
    private final TokenBucket readTokens;
    private final TokenBucket writeTokens;
    private final Timers timers;

    AdmissionControl(
            final StoreFaults faults,
            final StoreCounters counters,
            final StoreRates rates,
            final Clock clock,
            final Timers timers) {
        this.faults = faults;
        this.counters = counters;
        this.readTokens = new TokenBucket(clock, rates.readsPerSecond());
        this.writeTokens = new TokenBucket(clock, rates.writesPerSecond());
        this.timers = timers;
    }

    void admit(final HttpServerExchange exchange, final CallKind kind, final Runnable call) {
        counters.count(kind);
        if (refuseInOutage(exchange)) {
            return;
        }
        if (!(kind.countsAsWrite() ? writeTokens : readTokens).tryAcquire()) {
            counters.countRateRefusal();
            exchange.getResponseHeaders().put(StoreProtocol.RETRY_AFTER, RETRY_AFTER_SECONDS);
            exchange.setStatusCode(StatusCodes.TOO_MANY_REQUESTS).endExchange();
            return;
        }
        int latencyMs = faults.latencyMs();
        if (latencyMs == 0) {
            call.run();
        } else {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> timers.after(latencyMs, () -> exchange.getIoThread().execute(call)));
        }
    }

    /** Returns true if an outage refuses the call; a silent one leaves it open until its caller closes it. */
    boolean refuseInOutage(final HttpServerExchange exchange) {
        if (faults.isSilent()) {
            counters.countOutageRefusal();
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            return true;
        }
        if (faults.isDown()) {
            counters.countOutageRefusal();
            exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE).endExchange();
            return true;
        }
        return false;
    }
}
