package org.sequoiashunt.trial.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiashunt.commit.HttpStore;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreConflictException;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoredLease;
import org.sequoiashunt.store.StoredValue;
import org.sequoiashunt.time.SteppedClock;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests the fake store through the client that nodes use. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
final class FakeStoreServerTest {

    private static final long CALL_TIMEOUT_MS = 20_000;
    private static final long SHORT_TIMEOUT_MS = 200;
    private static final StoreRates RATES = new StoreRates(6, 5);
    private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final Closer closer = new Closer();
    private FakeStoreServer fakeStore;
    private HttpStore store;

    @BeforeEach
    void start() throws Exception {
        fakeStore = closer.register(FakeStoreServer.startOnLoopback(RATES, clock));
        store = HttpStore.open(fakeStore.address(), CALL_TIMEOUT_MS, closer);
    }

    @AfterEach
    void stop() throws Exception {
        closer.close();
    }

    @Test
    void swapsReadsAndListsValues() throws StoreException {
        assertTrue(store.read("p/a").isEmpty());
        long first = store.compareAndSwap("p/a", Store.ABSENT_REVISION, VALUE);
        StoreConflictException conflict = assertThrows(
                StoreConflictException.class, () -> store.compareAndSwap("p/a", Store.ABSENT_REVISION, VALUE));
        assertEquals(first, conflict.currentRevision());
        long second = store.compareAndSwap("p/a", first, new byte[0]);
        assertEquals(
                StoredValue.of("p/a", second, new byte[0]), store.read("p/a").orElseThrow());
        assertEquals(List.of(StoredValue.of("p/a", second, new byte[0])), store.list("p/"));
        assertEquals(new StoreCounts(3, 0, 3, 0, 1, 0, 0), fakeStore.counts());
    }

    @Test
    void valueOfMaximumSizeIsStoredUnchanged() throws StoreException {
        byte[] largest = new byte[Store.MAXIMUM_VALUE_BYTES];
        new SplittableRandom(7).nextBytes(largest);
        store.compareAndSwap("large", Store.ABSENT_REVISION, largest);
        assertArrayEquals(largest, store.read("large").orElseThrow().bytes());
    }

    @Test
    void releasedOrExpiredLeaseCanBeAcquiredByAnotherHolder() throws StoreException {
        StoredLease lease = store.acquireLease("leads/ha-noi-a", "node 1", 500);
        assertEquals(new StoredLease("leads/ha-noi-a", "node 1", 1, 500), lease);
        assertEquals(
                "node 1", store.acquireLease("leads/ha-noi-a", "node-2", 500).holder());
        store.releaseLease("leads/ha-noi-a", "node 1");
        assertEquals(2, store.acquireLease("leads/ha-noi-a", "node-2", 500).term());
        fakeStore.faults().expireLeases();
        assertEquals(
                "node-3", store.acquireLease("leads/ha-noi-a", "node-3", 500).holder());
    }

    @Test
    void watchReturnsOnChangeAndCountsAsOneCall() throws Exception {
        CompletableFuture<Optional<StoredValue>> watch =
                CompletableFuture.supplyAsync(() -> watchUnchecked("a", CALL_TIMEOUT_MS));
        while (fakeStore.counts().watches() == 0) {
            Thread.onSpinWait();
        }
        long revision = store.compareAndSwap("a", Store.ABSENT_REVISION, VALUE);
        assertEquals(Optional.of(StoredValue.of("a", revision, VALUE)), watch.get());
        assertTrue(store.watch("a", revision, 1).isEmpty());
        assertEquals(2, fakeStore.counts().watches());
        assertEquals(0, fakeStore.counts().reads());
    }

    @Test
    void ratesAreEnforcedAndRefill() throws StoreException {
        for (int call = 0; call < RATES.readsPerSecond(); call++) {
            store.read("a");
        }
        StoreException refused = assertThrows(StoreException.class, () -> store.read("a"));
        assertTrue(refused.getMessage().contains("429, retry after 1 s"), refused.getMessage());
        store.compareAndSwap("a", Store.ABSENT_REVISION, VALUE);
        clock.advance(1_000);
        assertTrue(store.read("a").isPresent());
        assertEquals(1, fakeStore.counts().rateRefusals());
    }

    @Test
    void writeRefusedInOutageHasNoEffect() throws StoreException {
        fakeStore.faults().setDown(true);
        assertFalse(expectFailedWrite(store).mayHaveTakenEffect());
        fakeStore.faults().setDown(false);
        assertTrue(store.read("a").isEmpty());
    }

    @Test
    void writeWithLostAnswerTakesEffect() throws StoreException {
        fakeStore.faults().loseAnswers(1);
        assertTrue(expectFailedWrite(store).mayHaveTakenEffect());
        assertTrue(store.read("a").isPresent());
    }

    @Test
    void silentStoreTimesOut() {
        fakeStore.faults().setSilent(true);
        HttpStore shortTimeoutStore = HttpStore.of(fakeStore.address(), worker(), SHORT_TIMEOUT_MS);
        assertTrue(expectFailedWrite(shortTimeoutStore).mayHaveTakenEffect());
        assertThrows(StoreException.class, () -> shortTimeoutStore.read("a"));
    }

    @Test
    void slowStoreMayTakeEffectAfterTheTimeout() throws Exception {
        fakeStore.faults().setLatencyMs((int) SHORT_TIMEOUT_MS * 2);
        assertTrue(expectFailedWrite(HttpStore.of(fakeStore.address(), worker(), SHORT_TIMEOUT_MS))
                .mayHaveTakenEffect());
        fakeStore.faults().setLatencyMs(0);
        assertTrue(store.watch("a", Store.ABSENT_REVISION, CALL_TIMEOUT_MS).isPresent());
    }

    @Test
    void writeToClosedPortFailsWithoutEffect() {
        HttpStore closedStore = HttpStore.of(fakeStore.address(), worker(), CALL_TIMEOUT_MS);
        fakeStore.close();
        assertFalse(expectFailedWrite(closedStore).mayHaveTakenEffect());
    }

    @Test
    void faultsCanBeSwitchedOverHttp() throws Exception {
        assertTrue(post("/faults?down=true&latencyMs=3").contains("\"down\":true,\"latencyMs\":3"));
        assertThrows(StoreException.class, () -> store.read("a"));
        post("/faults?down=false&loseAnswers=1");
        assertTrue(expectFailedWrite(store).mayHaveTakenEffect());
        assertTrue(post("/counters").contains("\"outageRefusals\":1"));
    }

    @ParameterizedTest
    @CsvSource({
        "PUT, /v1/values/a, 400",
        "PUT, /v1/values, 405",
        "DELETE, /v1/values/a, 405",
        "GET, /v1/watch/a?revision=x&waitMs=1, 400",
        "GET, /v1/watch/a?revision=0&waitMs=0, 400",
        "GET, /v1/watch/a?revision=0&waitMs=99999999, 400",
        "POST, /v1/leases/a, 400",
        "POST, /v1/leases/a?holder=b&durationMs=-1, 400",
        "GET, /v1/leases/a?holder=b, 405",
        "GET, /v2, 404"
    })
    void malformedCallIsRefused(final String method, final String path, final int status) throws Exception {
        assertEquals(
                status, send(method, path, HttpRequest.BodyPublishers.noBody()).statusCode());
    }

    @Test
    void oversizedValueIsRefusedAndNotStored() throws Exception {
        byte[] oversized = new byte[Store.MAXIMUM_VALUE_BYTES + 1];
        HttpRequest.BodyPublisher chunked =
                HttpRequest.BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(oversized));
        for (HttpRequest.BodyPublisher body : List.of(HttpRequest.BodyPublishers.ofByteArray(oversized), chunked)) {
            assertEquals(
                    413,
                    send("PUT", "/v1/values/a", body, "Expected-Revision", "0").statusCode());
        }
        assertTrue(store.read("a").isEmpty());
    }

    private static StoreException expectFailedWrite(final Store store) {
        return assertThrows(StoreException.class, () -> store.compareAndSwap("a", Store.ABSENT_REVISION, VALUE));
    }

    private XnioWorker worker() {
        XnioWorker worker = Xnio.getInstance().createWorkerBuilder().build();
        closer.register(worker::shutdownNow);
        return worker;
    }

    private Optional<StoredValue> watchUnchecked(final String key, final long waitMs) {
        try {
            return store.watch(key, Store.ABSENT_REVISION, waitMs);
        } catch (StoreException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private String post(final String path) throws Exception {
        return send("POST", path, HttpRequest.BodyPublishers.noBody()).body();
    }

    private HttpResponse<String> send(
            final String method, final String path, final HttpRequest.BodyPublisher body, final String... headers)
            throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + fakeStore.address() + path))
                .version(HttpClient.Version.HTTP_1_1)
                .method(method, body);
        if (headers.length > 0) {
            request.headers(headers);
        }
        return HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
