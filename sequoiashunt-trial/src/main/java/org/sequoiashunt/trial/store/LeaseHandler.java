package org.sequoiashunt.trial.store;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.Optional;
import org.sequoiashunt.store.MemoryStore;
import org.sequoiashunt.store.StoreException;

/**
 * Serves the acquiring, renewing and releasing of leases. Thread-safe; runs on I/O threads and never blocks.
 */
final class LeaseHandler implements HttpHandler {

    private final MemoryStore store;
    private final AdmissionControl admission;

    LeaseHandler(final MemoryStore store, final AdmissionControl admission) {
        this.store = store;
        this.admission = admission;
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        String name = Responses.pathSuffix(exchange);
        Optional<String> holder = Responses.parameter(exchange, "holder").filter(text -> !text.isEmpty());
        if (name.isEmpty() || holder.isEmpty()) {
            Responses.sendBadRequest(exchange, "expected /v1/leases/{name}?holder={name}");
        } else if (exchange.getRequestMethod().equals(Methods.POST)) {
            acquire(exchange, name, holder.get());
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            admission.admit(exchange, CallKind.LEASE, () -> release(exchange, name, holder.get()));
        } else {
            Responses.sendStatus(exchange, StatusCodes.METHOD_NOT_ALLOWED);
        }
    }

    private void acquire(final HttpServerExchange exchange, final String name, final String holder) {
        Optional<Long> durationMs =
                Responses.numberParameter(exchange, "durationMs").filter(duration -> duration > 0);
        if (durationMs.isEmpty()) {
            Responses.sendBadRequest(exchange, "durationMs must be a positive number");
            return;
        }
        admission.admit(exchange, CallKind.LEASE, () -> acquire(exchange, name, holder, durationMs.get()));
    }

    private void acquire(
            final HttpServerExchange exchange, final String name, final String holder, final long durationMs) {
        try {
            Responses.sendDocument(exchange, store.acquireLease(name, holder, durationMs));
        } catch (StoreException exception) {
            Responses.sendFailure(exchange, exception);
        }
    }

    private void release(final HttpServerExchange exchange, final String name, final String holder) {
        try {
            store.releaseLease(name, holder);
            Responses.sendStatus(exchange, StatusCodes.NO_CONTENT);
        } catch (StoreException exception) {
            Responses.sendFailure(exchange, exception);
        }
    }
}
