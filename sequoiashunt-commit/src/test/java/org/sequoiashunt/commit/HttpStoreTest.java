package org.sequoiashunt.commit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;

/** Checks the store client against a server that sends malformed, truncated, endless and stalled responses. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
final class HttpStoreTest {

    private static final long LONG_TIMEOUT_MS = 30_000;
    private static final long SHORT_TIMEOUT_MS = 300;
    private static final byte[] VALUE = {1};

    private final Closer closer = new Closer();
    private final CountDownLatch testEnds = new CountDownLatch(1);

    @AfterEach
    void stop() throws Exception {
        testEnds.countDown();
        closer.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nRevision: 1\r\nContent-Length: 5\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nRevision: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                "HTTP/1.1 200 OK\r\nRevision: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRevision: one\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n",
                "SSH-2.0-OpenSSH\r\n\r\n"
            })
    void incompleteOrInvalidResponseIsRefused(final String response) throws IOException {
        HttpStore store = openStoreWithResponse(LONG_TIMEOUT_MS, output -> output.write(bytes(response)));
        assertTrue(failure(() -> store.compareAndSwap("a", Store.ABSENT_REVISION, VALUE))
                .mayHaveTakenEffect());
        assertTrue(!failure(() -> store.read("a")).mayHaveTakenEffect());
    }

    @ParameterizedTest
    @CsvSource({"400,false", "404,false", "413,false", "429,false", "503,false", "500,true", "504,true"})
    void statusDeterminesWhetherWriteMayHaveTakenEffect(final int status, final boolean effectPossible)
            throws IOException {
        HttpStore store = openStoreWithResponse(
                LONG_TIMEOUT_MS,
                output -> output.write(bytes("HTTP/1.1 " + status + " No\r\nContent-Length: 0\r\n\r\n")));
        assertEquals(
                effectPossible,
                failure(() -> store.compareAndSwap("a", Store.ABSENT_REVISION, VALUE))
                        .mayHaveTakenEffect());
    }

    @Test
    void endlessResponseIsRefusedAtSizeLimit() throws IOException {
        HttpStore store = openStoreWithResponse(LONG_TIMEOUT_MS, output -> {
            output.write(bytes("HTTP/1.1 200 OK\r\nRevision: 1\r\nTransfer-Encoding: chunked\r\n\r\n"));
            writeForever(output, bytes("400\r\n" + "x".repeat(1_024) + "\r\n"));
        });
        assertTrue(failure(() -> store.read("a")).getMessage().contains("exceeds 1048576 bytes"));
    }

    @Test
    void endlessHeadersEndWithTimeout() throws IOException {
        HttpStore store = openStoreWithResponse(SHORT_TIMEOUT_MS, output -> {
            output.write(bytes("HTTP/1.1 200 OK\r\n"));
            writeForever(output, bytes("Name: value\r\n"));
        });
        failure(() -> store.read("a"));
    }

    @Test
    void stalledResponseEndsWithTimeout() throws IOException {
        HttpStore store = openStoreWithResponse(SHORT_TIMEOUT_MS, output -> {
            output.write(bytes("HTTP/1.1 200 OK\r\nRevision: 1\r\nContent-Length: 9\r\n\r\na"));
            testEnds.await();
        });
        assertTrue(failure(() -> store.watch("a", Store.ABSENT_REVISION, 1))
                .getMessage()
                .contains("no response within 301 ms"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "{\"values\":null}", "{\"values\":[{\"key\":\"a\"}]}", "[1", "{\"values\":[null]}"})
    void malformedListIsRefused(final String list) throws IOException {
        HttpStore store = openStoreWithResponse(
                LONG_TIMEOUT_MS,
                output ->
                        output.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)));
        assertTrue(failure(() -> store.list("a/")).getMessage().contains("invalid response"));
        failure(() -> store.acquireLease("a", "b", 1));
    }

    @Test
    void oversizedValueIsNotSent() throws IOException {
        HttpStore store =
                openStoreWithResponse(LONG_TIMEOUT_MS, output -> output.write(bytes("HTTP/1.1 200 OK\r\n\r\n")));
        byte[] oversized = new byte[Store.MAXIMUM_VALUE_BYTES + 1];
        assertTrue(!failure(() -> store.compareAndSwap("a", Store.ABSENT_REVISION, oversized))
                .mayHaveTakenEffect());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "/a", "a/", "a//b", "a b", "a?b", "a\r\nb", "ä"})
    void invalidKeyIsRefused(final String key) throws IOException {
        HttpStore store = openStoreWithResponse(LONG_TIMEOUT_MS, output -> output.write(bytes("")));
        assertThrows(IllegalArgumentException.class, () -> store.read(key));
    }

    private static StoreException failure(final Executable call) {
        return assertThrows(StoreException.class, call);
    }

    /** Starts a server that reads one request head per connection, sends a response and closes it; opens its store. */
    private HttpStore openStoreWithResponse(final long timeoutMs, final ResponseWriter response) throws IOException {
        ServerSocket server = closer.register(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        Thread thread = new Thread(() -> serve(server, response));
        thread.setDaemon(true);
        thread.start();
        return HttpStore.open(new NodeAddress("127.0.0.1", server.getLocalPort()), timeoutMs, closer);
    }

    private static void serve(final ServerSocket server, final ResponseWriter response) {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                readHead(socket);
                response.send(socket.getOutputStream());
            } catch (IOException exception) {
                // The client closed its connection, or the test is over.
                continue;
            } catch (InterruptedException exception) {
                return;
            }
        }
    }

    private static void readHead(final Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("closed");
            }
            head.append((char) next);
        }
    }

    private static void writeForever(final OutputStream output, final byte[] bytes) throws IOException {
        while (true) {
            output.write(bytes);
        }
    }

    private static byte[] bytes(final String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Writes the response of the server. */
    @FunctionalInterface
    private interface ResponseWriter {
        void send(OutputStream output) throws IOException, InterruptedException;
    }
}
