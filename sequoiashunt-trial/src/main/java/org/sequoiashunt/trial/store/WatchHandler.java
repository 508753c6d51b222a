package org.sequoiashunt.trial.store;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiashunt.http.Timers;
import org.sequoiashunt.store.MemoryStore;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoredValue;

/**
 * Holds watches open until their key changes or their wait ends.
 *
 * <p>Thread-safe; runs on I/O threads and never blocks. Invariant: each watch is answered once.
 */
final class WatchHandler implements HttpHandler {

    private static final long MAXIMUM_WAIT_MS = 600_000;

    private final MemoryStore store;
    private final AdmissionControl admission;
    private final Timers timers;
    private final Map<String, Set<Waiter>> waiters = new ConcurrentHashMap<>();

    WatchHandler(final MemoryStore store, final AdmissionControl admission, final Timers timers) {
        this.store = store;
        this.admission = admission;
        this.timers = timers;
        store.addListener(this::keyChanged);
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        Optional<Long> revision = Responses.numberParameter(exchange, "revision");
        Optional<Long> waitMs =
                Responses.numberParameter(exchange, "waitMs").filter(wait -> wait > 0 && wait <= MAXIMUM_WAIT_MS);
        String key = Responses.pathSuffix(exchange);
        if (key.isEmpty() || revision.isEmpty() || waitMs.isEmpty()) {
            Responses.sendBadRequest(exchange, "expected /v1/watch/{key}?revision={number}&waitMs={1 to 600000}");
            return;
        }
        Waiter waiter = new Waiter(exchange, key, revision.get());
        admission.admit(exchange, CallKind.WATCH, () -> start(waiter, waitMs.get()));
    }

    private void start(final Waiter waiter, final long waitMs) {
        waiter.exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            waiters.computeIfAbsent(waiter.key, key -> ConcurrentHashMap.newKeySet())
                    .add(waiter);
            timers.after(waitMs, () -> waiter.exchange.getIoThread().execute(() -> answer(waiter, true)));
            answer(waiter, false);
        });
    }

    private void keyChanged(final String key) {
        for (Waiter waiter : waiters.getOrDefault(key, Set.of())) {
            waiter.exchange.getIoThread().execute(() -> answer(waiter, false));
        }
    }

    private void answer(final Waiter waiter, final boolean timedOut) {
        Optional<StoredValue> value;
        try {
            value = store.watch(waiter.key, waiter.knownRevision, 1);
        } catch (StoreException exception) {
            value = Optional.empty();
        }
        if (value.isEmpty() && !timedOut || !waiter.answered.compareAndSet(false, true)) {
            return;
        }
        waiters.get(waiter.key).remove(waiter);
        if (!admission.refuseInOutage(waiter.exchange)) {
            value.ifPresentOrElse(
                    present -> Responses.sendValue(waiter.exchange, present),
                    () -> Responses.sendStatus(waiter.exchange, StatusCodes.NO_CONTENT));
        }
    }

    /** Open watch. Thread-safe: the thread that sets {@code answered} sends the answer. */
    private static final class Waiter {

        private final HttpServerExchange exchange;
        private final String key;
        private final long knownRevision;
        private final AtomicBoolean answered = new AtomicBoolean();

        private Waiter(final HttpServerExchange exchange, final String key, final long knownRevision) {
            this.exchange = exchange;
            this.key = key;
            this.knownRevision = knownRevision;
        }
    }
}
