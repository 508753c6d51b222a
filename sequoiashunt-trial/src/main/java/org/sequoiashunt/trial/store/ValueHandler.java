package org.sequoiashunt.trial.store;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiashunt.commit.StoreProtocol;
import org.sequoiashunt.store.MemoryStore;
import org.sequoiashunt.store.StoreConflictException;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoredValue;
import org.xnio.IoUtils;

/**
 * Serves reads, lists and compare-and-swaps of values. Thread-safe; runs on I/O threads and never blocks.
 */
final class ValueHandler implements HttpHandler {

    private final MemoryStore store;
    private final AdmissionControl admission;
    private final StoreCounters counters;

    ValueHandler(final MemoryStore store, final AdmissionControl admission, final StoreCounters counters) {
        this.store = store;
        this.admission = admission;
        this.counters = counters;
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        String key = Responses.pathSuffix(exchange);
        if (exchange.getRequestMethod().equals(Methods.PUT) && !key.isEmpty()) {
            receive(exchange, key);
        } else if (!exchange.getRequestMethod().equals(Methods.GET)) {
            Responses.sendStatus(exchange, StatusCodes.METHOD_NOT_ALLOWED);
        } else if (key.isEmpty()) {
            admission.admit(exchange, CallKind.READ, () -> list(exchange));
        } else {
            admission.admit(exchange, CallKind.READ, () -> read(exchange, key));
        }
    }

    private void read(final HttpServerExchange exchange, final String key) {
        try {
            Optional<StoredValue> value = store.read(key);
            value.ifPresentOrElse(
                    present -> Responses.sendValue(exchange, present),
                    () -> Responses.sendStatus(exchange, StatusCodes.NOT_FOUND));
        } catch (StoreException exception) {
            Responses.sendFailure(exchange, exception);
        }
    }

    private void list(final HttpServerExchange exchange) {
        try {
            List<StoreProtocol.ListedValue> listed = new ArrayList<>();
            for (StoredValue value :
                    store.list(Responses.parameter(exchange, "prefix").orElse(""))) {
                listed.add(new StoreProtocol.ListedValue(value.key(), value.revision(), value.bytes()));
            }
            Responses.sendDocument(exchange, new StoreProtocol.ListedValues(listed));
        } catch (StoreException exception) {
            Responses.sendFailure(exchange, exception);
        }
    }

    private void receive(final HttpServerExchange exchange, final String key) {
        Optional<Long> expected = Optional.ofNullable(
                        exchange.getRequestHeaders().getFirst(StoreProtocol.EXPECTED_REVISION))
                .flatMap(Responses::parseNumber);
        if (expected.isEmpty()) {
            Responses.sendBadRequest(exchange, "Expected-Revision must be a number, 0 for a key that must not exist");
            return;
        }
        ValueCollector collector = new ValueCollector();
        exchange.getRequestReceiver()
                .receivePartialBytes(
                        (receiving, chunk, last) -> {
                            collector.add(chunk);
                            if (last) {
                                admission.admit(
                                        receiving,
                                        CallKind.WRITE,
                                        () -> swap(receiving, key, expected.get(), collector.value()));
                            } else if (collector.exceedsDropLimit()) {
                                IoUtils.safeClose(receiving.getConnection());
                            }
                        },
                        (receiving, exception) -> IoUtils.safeClose(receiving.getConnection()));
    }

    private void swap(
            final HttpServerExchange exchange,
            final String key,
            final long expectedRevision,
            final Optional<byte[]> value) {
        if (value.isEmpty()) {
            Responses.sendStatus(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE);
        } else {
            swap(exchange, key, expectedRevision, value.get());
        }
    }

    private void swap(
            final HttpServerExchange exchange, final String key, final long expectedRevision, final byte[] value) {
        try {
            long revision = store.compareAndSwap(key, expectedRevision, value);
            exchange.getResponseHeaders().put(StoreProtocol.REVISION, revision);
            Responses.sendStatus(exchange, StatusCodes.OK);
        } catch (StoreConflictException conflict) {
            counters.countConflict();
            exchange.getResponseHeaders().put(StoreProtocol.REVISION, conflict.currentRevision());
            Responses.sendStatus(exchange, StatusCodes.CONFLICT);
        } catch (StoreException exception) {
            Responses.sendFailure(exchange, exception);
        }
    }
}
