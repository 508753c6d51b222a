package org.sequoiashunt.commit;

import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.sequoiashunt.http.HttpCall;
import org.sequoiashunt.http.HttpResponse;
import org.sequoiashunt.http.ResponseMemory;
import org.sequoiashunt.http.ResponseRules;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreConflictException;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoredLease;
import org.sequoiashunt.store.StoredValue;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Client of the platform's store over HTTP; {@link StoreProtocol} describes the protocol.
 *
 * <p>Each call opens a connection, blocks the calling thread and ends within the timeout, a watch within the sum of its
 * wait and the timeout. Failed calls are not repeated. No call may be made on a thread of the worker.
 *
 * <p>Thread-safe. Invariants: a response is used only if it is complete and within its size limit; a write is reported
 * as possibly in effect whenever its request may have been sent and no response states its outcome.
 */
public final class HttpStore implements Store {

    /** Largest list that is accepted: more than the summaries of all failure domains take. */
    static final int MAXIMUM_LIST_BYTES = 8 * MAXIMUM_VALUE_BYTES;

    /** Memory of all incomplete responses: one of the largest lists, which is copied once, and others. */
    private static final long RESPONSE_MEMORY_BYTES = 3L * MAXIMUM_LIST_BYTES;

    private static final int MAXIMUM_SMALL_RESPONSE_BYTES = 65_536;
    private static final int BUFFER_BYTES = 16_384;
    private static final int MAXIMUM_POOLED_BUFFERS = 16;
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final Set<String> SINGLE_FIELDS =
            Set.of(StoreProtocol.REVISION.toString().toLowerCase(Locale.ROOT));
    private static final Pattern VALID_KEY = Pattern.compile("[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*");

    private final NodeAddress address;
    private final URI server;
    private final XnioWorker worker;
    private final long timeoutMs;
    private final ByteBufferPool buffers;
    private final ResponseMemory responseMemory = new ResponseMemory(RESPONSE_MEMORY_BYTES);

    private HttpStore(final NodeAddress address, final XnioWorker worker, final long timeoutMs) {
        this.address = Objects.requireNonNull(address, "address");
        this.server = URI.create("http://" + address);
        this.worker = Objects.requireNonNull(worker, "worker");
        this.timeoutMs = timeoutMs;
        this.buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, MAXIMUM_POOLED_BUFFERS, 0);
    }

    /**
     * Creates a client that runs on a given worker.
     *
     * @param address the address of the store, not null.
     * @param worker the worker, not null; it must not be shut down before the last call has ended.
     * @param timeoutMs the longest time for one call, in milliseconds, positive.
     * @return a new adapter, never null.
     */
    public static HttpStore of(final NodeAddress address, final XnioWorker worker, final long timeoutMs) {
        if (timeoutMs < 1) {
            throw new IllegalArgumentException("timeoutMs must be positive: " + timeoutMs);
        }
        return new HttpStore(address, worker, timeoutMs);
    }

    /**
     * Creates a client with a worker of its own that has one I/O thread.
     *
     * @param address the address of the store, not null.
     * @param timeoutMs the longest time for one call, in milliseconds, positive.
     * @param closer shuts the worker down when it is closed, not null.
     * @return a new adapter, never null.
     * @throws IOException if the worker cannot be started.
     */
    public static HttpStore open(final NodeAddress address, final long timeoutMs, final Closer closer)
            throws IOException {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, "store")
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        closer.register(worker::shutdownNow);
        return of(address, worker, timeoutMs);
    }

    @Override
    public Optional<StoredValue> read(final String key) throws StoreException {
        Call call = new Call(Methods.GET, StoreProtocol.VALUES + "/" + requireValidKey(key), MAXIMUM_VALUE_BYTES);
        HttpResponse response = call.run(timeoutMs);
        return switch (response.status()) {
            case StatusCodes.OK -> Optional.of(StoredValue.of(key, call.parseRevision(response), response.body()));
            case StatusCodes.NOT_FOUND -> Optional.empty();
            default -> throw call.refusedRequest(response);
        };
    }

    @Override
    public List<StoredValue> list(final String prefix) throws StoreException {
        Call call = new Call(
                Methods.GET, StoreProtocol.VALUES + "?prefix=" + encodeParameter(prefix, "prefix"), MAXIMUM_LIST_BYTES);
        HttpResponse response = call.run(timeoutMs);
        if (response.status() != StatusCodes.OK) {
            throw call.refusedRequest(response);
        }
        List<StoredValue> values = new ArrayList<>();
        for (StoreProtocol.ListedValue value :
                call.parseDocument(response, StoreProtocol.ListedValues.class).values()) {
            values.add(StoredValue.of(value.key(), value.revision(), value.bytes()));
        }
        return values;
    }

    @Override
    public long compareAndSwap(final String key, final long expectedRevision, final byte[] value)
            throws StoreException {
        Objects.requireNonNull(value, "value");
        if (value.length > MAXIMUM_VALUE_BYTES) {
            throw new StoreException("the value of '" + key + "' exceeds " + MAXIMUM_VALUE_BYTES + " bytes", false);
        }
        Call call =
                new Call(Methods.PUT, StoreProtocol.VALUES + "/" + requireValidKey(key), MAXIMUM_SMALL_RESPONSE_BYTES);
        call.request
                .getRequestHeaders()
                .put(StoreProtocol.EXPECTED_REVISION, expectedRevision)
                .put(Headers.CONTENT_LENGTH, value.length);
        call.body = value;
        HttpResponse response = call.run(timeoutMs);
        return switch (response.status()) {
            case StatusCodes.OK -> call.parseRevision(response);
            case StatusCodes.CONFLICT -> throw new StoreConflictException(key, call.parseRevision(response));
            default -> throw call.refusedRequest(response);
        };
    }

    @Override
    public Optional<StoredValue> watch(final String key, final long knownRevision, final long waitMs)
            throws StoreException {
        if (waitMs < 1) {
            throw new IllegalArgumentException("waitMs must be positive: " + waitMs);
        }
        String query = "?revision=" + knownRevision + "&waitMs=" + waitMs;
        Call call =
                new Call(Methods.GET, StoreProtocol.WATCH + "/" + requireValidKey(key) + query, MAXIMUM_VALUE_BYTES);
        HttpResponse response = call.run(waitMs + timeoutMs);
        return switch (response.status()) {
            case StatusCodes.OK -> Optional.of(StoredValue.of(key, call.parseRevision(response), response.body()));
            case StatusCodes.NO_CONTENT -> Optional.empty();
            default -> throw call.refusedRequest(response);
        };
    }

    @Override
    public StoredLease acquireLease(final String name, final String holder, final long durationMs)
            throws StoreException {
        if (durationMs < 1) {
            throw new IllegalArgumentException("durationMs must be positive: " + durationMs);
        }
        String query = "?holder=" + encodeParameter(holder, "holder") + "&durationMs=" + durationMs;
        Call call = new Call(
                Methods.POST, StoreProtocol.LEASES + "/" + requireValidKey(name) + query, MAXIMUM_SMALL_RESPONSE_BYTES);
        call.request.getRequestHeaders().put(Headers.CONTENT_LENGTH, 0);
        HttpResponse response = call.run(timeoutMs);
        if (response.status() != StatusCodes.OK) {
            throw call.refusedRequest(response);
        }
        return call.parseDocument(response, StoredLease.class);
    }

    @Override
    public void releaseLease(final String name, final String holder) throws StoreException {
        String query = "?holder=" + encodeParameter(holder, "holder");
        Call call = new Call(
                Methods.DELETE,
                StoreProtocol.LEASES + "/" + requireValidKey(name) + query,
                MAXIMUM_SMALL_RESPONSE_BYTES);
        HttpResponse response = call.run(timeoutMs);
        if (response.status() != StatusCodes.NO_CONTENT) {
            throw call.refusedRequest(response);
        }
    }

    private static String requireValidKey(final String key) {
        if (!VALID_KEY.matcher(Objects.requireNonNull(key, "key")).matches()) {
            throw new IllegalArgumentException("invalid key: '" + key + "'");
        }
        return key;
    }

    private static String encodeParameter(final String value, final String name) {
        return URLEncoder.encode(Objects.requireNonNull(value, name), StandardCharsets.UTF_8);
    }

    /** One request to the store and the errors in which it can end. Confined to the calling thread. */
    private final class Call {

        private final ClientRequest request = new ClientRequest();
        private final int maximumResponseBytes;
        private byte[] body = EMPTY_BODY;

        private Call(final HttpString method, final String uri, final int maximumResponseBytes) {
            request.setMethod(method).setPath(uri);
            request.getRequestHeaders().put(Headers.HOST, address.toString());
            request.getRequestHeaders().put(Headers.CONNECTION, "close");
            this.maximumResponseBytes = maximumResponseBytes;
        }

        private HttpResponse run(final long callTimeoutMs) throws StoreException {
            HttpCall call = new HttpCall(
                    request, body, new ResponseRules(maximumResponseBytes, SINGLE_FIELDS, false, responseMemory));
            try {
                return call.run(server, worker, buffers, callTimeoutMs);
            } catch (IOException exception) {
                boolean effectPossible = isWrite() && call.wasSent();
                throw new StoreException(
                        "the store at " + address + " did not answer " + describe() + ": " + exception.getMessage(),
                        effectPossible,
                        exception);
            }
        }

        private boolean isWrite() {
            return !request.getMethod().equals(Methods.GET);
        }

        private String describe() {
            return request.getMethod() + " " + request.getPath();
        }

        private long parseRevision(final HttpResponse response) throws StoreException {
            String text = response.header(StoreProtocol.REVISION).orElse("none");
            try {
                return Long.parseLong(text);
            } catch (NumberFormatException exception) {
                throw malformedResponse("its Revision header is " + text, exception);
            }
        }

        private <T> T parseDocument(final HttpResponse response, final Class<T> type) throws StoreException {
            try {
                return JsonCodec.read(response.body(), type);
            } catch (IOException exception) {
                throw malformedResponse(exception.getMessage(), exception);
            }
        }

        private StoreException malformedResponse(final String reason, final Exception cause) {
            return new StoreException(
                    "the store at " + address + " sent an invalid response to " + describe() + ": " + reason,
                    isWrite(),
                    cause);
        }

        private StoreException refusedRequest(final HttpResponse response) {
            String wait = response.header(StoreProtocol.RETRY_AFTER)
                    .map(seconds -> ", retry after " + seconds + " s")
                    .orElse("");
            return new StoreException(
                    "the store at " + address + " refused " + describe() + " with status " + response.status() + wait,
                    isWrite() && !guaranteesNoEffect(response.status()));
        }

        /** Tells whether the protocol states for a status that the request had no effect. */
        private static boolean guaranteesNoEffect(final int status) {
            return status >= StatusCodes.BAD_REQUEST && status < StatusCodes.INTERNAL_SERVER_ERROR
                    || status == StatusCodes.SERVICE_UNAVAILABLE;
        }
    }
}
