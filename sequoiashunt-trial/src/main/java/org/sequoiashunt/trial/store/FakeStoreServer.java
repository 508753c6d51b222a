package org.sequoiashunt.trial.store;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.sequoiashunt.commit.StoreProtocol;
import org.sequoiashunt.http.Timers;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.store.MemoryStore;
import org.sequoiashunt.time.Clock;

/**
 * Fake of the platform's store for tests and the demonstration: serves the HTTP protocol of {@link StoreProtocol}
 * from a store in memory, enforces the platform's rate limits and injects faults on request.
 *
 * <p>{@code GET /counters} returns the numbers of received calls; {@code /faults} switches faults, see
 * {@link StoreFaults}. Requests to these two paths are not counted. Thread-safe.
 */
public final class FakeStoreServer implements AutoCloseable {

    private static final int MAXIMUM_HEADER_BYTES = 16_384;

    /** Connections that have not sent a complete request head within this time are closed. */
    private static final int REQUEST_HEAD_TIMEOUT_MS = 10_000;

    private final MemoryStore store;
    private final StoreFaults faults;
    private final StoreCounters counters = new StoreCounters();
    private final Timers timers = new Timers();
    private final Undertow server;

    private FakeStoreServer(final NodeAddress address, final int port, final StoreRates rates, final Clock clock) {
        this.store = MemoryStore.of(clock);
        this.faults = new StoreFaults(store);
        AdmissionControl admission = new AdmissionControl(faults, counters, rates, clock, timers);
        this.server = Undertow.builder()
                .addHttpListener(port, address.host(), handlers(admission))
                .setIoThreads(2)
                .setWorkerThreads(1)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_HEAD_TIMEOUT_MS)
                .build();
    }

    /**
     * Starts a fake store on a given address.
     *
     * @param address where to listen, not null.
     * @param rates the rates to enforce, not null.
     * @param clock the clock of rates and leases, not null.
     * @return the running fake store, never null; the caller closes it.
     * @throws RuntimeException if the address is in use.
     */
    public static FakeStoreServer start(final NodeAddress address, final StoreRates rates, final Clock clock) {
        Objects.requireNonNull(address, "address");
        return startListening(new FakeStoreServer(address, address.port(), rates, clock));
    }

    /**
     * Starts a fake store on a free port of the loopback address.
     *
     * @param rates the rates to enforce, not null.
     * @param clock the clock of rates and leases, not null.
     * @return the running fake store, never null; the caller closes it.
     */
    public static FakeStoreServer startOnLoopback(final StoreRates rates, final Clock clock) {
        return startListening(new FakeStoreServer(new NodeAddress("127.0.0.1", 1), 0, rates, clock));
    }

    private static FakeStoreServer startListening(final FakeStoreServer fakeStore) {
        fakeStore.server.start();
        return fakeStore;
    }

    /**
     * Returns the address on which the fake store listens.
     *
     * @return the address, never null.
     */
    public NodeAddress address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return new NodeAddress(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /**
     * Returns the switches for faults.
     *
     * @return the switches, never null.
     */
    public StoreFaults faults() {
        return faults;
    }

    /**
     * Returns the numbers of received calls.
     *
     * @return the numbers since the start, never null.
     */
    public StoreCounts counts() {
        return counters.counts();
    }

    @Override
    public void close() {
        server.stop();
        timers.close();
    }

    private HttpHandler handlers(final AdmissionControl admission) {
        return Handlers.path()
                .addPrefixPath(StoreProtocol.VALUES, new ValueHandler(store, admission, counters))
                .addPrefixPath(StoreProtocol.WATCH, new WatchHandler(store, admission, timers))
                .addPrefixPath(StoreProtocol.LEASES, new LeaseHandler(store, admission))
                .addExactPath("/faults", new FaultHandler(faults))
                .addExactPath("/counters", exchange -> Responses.sendDocument(exchange, counters.counts()));
    }
}
