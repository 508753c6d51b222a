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
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;
import org.sequoiashunt.http.HttpCall;
import org.sequoiashunt.http.HttpResponse;
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
 * The platform's store over HTTP, as {@link StoreProtocol} describes it.
 *
 * <p>Each call takes a connection of its own, blocks the calling thread and ends within the timeout; a watch lasts its
 * wait in addition. Nothing is repeated here. A call must not be made on a thread of the worker.
 *
 * <p>Thread-safe. Invariants: an answer is held whole or not at all and never beyond its bound; a write is reported as
 * possibly in effect whenever its request may have left and no answer tells.
 */
public final class HttpStore implements Store {

    /** Largest list that is accepted: the summaries of all failure domains with room to spare. */
    static final int MAXIMUM_LIST_BYTES = 8 * MAXIMUM_VALUE_BYTES;

    private static final int MAXIMUM_SMALL_ANSWER_BYTES = 65_536;
    private static final int BUFFER_BYTES = 16_384;
    private static final int MAXIMUM_POOLED_BUFFERS = 16;
    private static final byte[] NO_BODY = new byte[0];
    private static final Pattern PATH = Pattern.compile("[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*");

    private final NodeAddress address;
    private final URI server;
    private final XnioWorker worker;
    private final long timeoutMs;
    private final ByteBufferPool buffers;

    private HttpStore(final NodeAddress address, final XnioWorker worker, final long timeoutMs) {
        this.address = Objects.requireNonNull(address, "address");
        this.server = URI.create("http://" + address);
        this.worker = Objects.requireNonNull(worker, "worker");
        this.timeoutMs = timeoutMs;
        this.buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, MAXIMUM_POOLED_BUFFERS, 0);
    }

    /**
     * Creates an adapter that runs on a given worker.
     *
     * @param address the address of the store, not null.
     * @param worker the worker, not null; it must outlive the adapter.
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
     * Creates an adapter with a small worker of its own.
     *
     * @param address the address of the store, not null.
     * @param timeoutMs the longest time for one call, in milliseconds, positive.
     * @param closer closes the worker, not null.
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
        Call call = new Call(Methods.GET, StoreProtocol.VALUES + "/" + path(key), MAXIMUM_VALUE_BYTES);
        HttpResponse answer = call.run(timeoutMs);
        return switch (answer.status()) {
            case StatusCodes.OK -> Optional.of(StoredValue.of(key, call.revision(answer), answer.body()));
            case StatusCodes.NOT_FOUND -> Optional.empty();
            default -> throw call.refusal(answer);
        };
    }

    @Override
    public List<StoredValue> list(final String prefix) throws StoreException {
        Call call = new Call(
                Methods.GET, StoreProtocol.VALUES + "?prefix=" + parameter(prefix, "prefix"), MAXIMUM_LIST_BYTES);
        HttpResponse answer = call.run(timeoutMs);
        if (answer.status() != StatusCodes.OK) {
            throw call.refusal(answer);
        }
        List<StoredValue> values = new ArrayList<>();
        for (StoreProtocol.ListedValue value :
                call.document(answer, StoreProtocol.ListedValues.class).values()) {
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
        Call call = new Call(Methods.PUT, StoreProtocol.VALUES + "/" + path(key), MAXIMUM_SMALL_ANSWER_BYTES);
        call.request
                .getRequestHeaders()
                .put(StoreProtocol.EXPECTED_REVISION, expectedRevision)
                .put(Headers.CONTENT_LENGTH, value.length);
        call.body = value;
        HttpResponse answer = call.run(timeoutMs);
        return switch (answer.status()) {
            case StatusCodes.OK -> call.revision(answer);
            case StatusCodes.CONFLICT -> throw new StoreConflictException(key, call.revision(answer));
            default -> throw call.refusal(answer);
        };
    }

    @Override
    public Optional<StoredValue> watch(final String key, final long knownRevision, final long waitMs)
            throws StoreException {
        if (waitMs < 1) {
            throw new IllegalArgumentException("waitMs must be positive: " + waitMs);
        }
        String query = "?revision=" + knownRevision + "&waitMs=" + waitMs;
        Call call = new Call(Methods.GET, StoreProtocol.WATCH + "/" + path(key) + query, MAXIMUM_VALUE_BYTES);
        HttpResponse answer = call.run(waitMs + timeoutMs);
        return switch (answer.status()) {
            case StatusCodes.OK -> Optional.of(StoredValue.of(key, call.revision(answer), answer.body()));
            case StatusCodes.NO_CONTENT -> Optional.empty();
            default -> throw call.refusal(answer);
        };
    }

    @Override
    public StoredLease acquireLease(final String name, final String holder, final long durationMs)
            throws StoreException {
        if (durationMs < 1) {
            throw new IllegalArgumentException("durationMs must be positive: " + durationMs);
        }
        String query = "?holder=" + parameter(holder, "holder") + "&durationMs=" + durationMs;
        Call call = new Call(Methods.POST, StoreProtocol.LEASES + "/" + path(name) + query, MAXIMUM_SMALL_ANSWER_BYTES);
        call.request.getRequestHeaders().put(Headers.CONTENT_LENGTH, 0);
        HttpResponse answer = call.run(timeoutMs);
        if (answer.status() != StatusCodes.OK) {
            throw call.refusal(answer);
        }
        return call.document(answer, StoredLease.class);
    }

    @Override
    public void releaseLease(final String name, final String holder) throws StoreException {
        String query = "?holder=" + parameter(holder, "holder");
        Call call =
                new Call(Methods.DELETE, StoreProtocol.LEASES + "/" + path(name) + query, MAXIMUM_SMALL_ANSWER_BYTES);
        HttpResponse answer = call.run(timeoutMs);
        if (answer.status() != StatusCodes.NO_CONTENT) {
            throw call.refusal(answer);
        }
    }

    private static String path(final String key) {
        if (!PATH.matcher(Objects.requireNonNull(key, "key")).matches()) {
            throw new IllegalArgumentException("not a key: '" + key + "'");
        }
        return key;
    }

    private static String parameter(final String value, final String name) {
        return URLEncoder.encode(Objects.requireNonNull(value, name), StandardCharsets.UTF_8);
    }

    /** One call and the errors it can end in. Confined to the calling thread. */
    private final class Call {

        private final ClientRequest request = new ClientRequest();
        private final int maximumAnswerBytes;
        private byte[] body = NO_BODY;

        private Call(final HttpString method, final String uri, final int maximumAnswerBytes) {
            request.setMethod(method).setPath(uri);
            request.getRequestHeaders().put(Headers.HOST, address.toString());
            request.getRequestHeaders().put(Headers.CONNECTION, "close");
            this.maximumAnswerBytes = maximumAnswerBytes;
        }

        private HttpResponse run(final long limitMs) throws StoreException {
            HttpCall call = new HttpCall(request, body, maximumAnswerBytes);
            try {
                return call.run(server, worker, buffers, limitMs);
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

        private long revision(final HttpResponse answer) throws StoreException {
            String text = answer.header(StoreProtocol.REVISION).orElse("none");
            try {
                return Long.parseLong(text);
            } catch (NumberFormatException exception) {
                throw malformed("its revision is " + text, exception);
            }
        }

        private <T> T document(final HttpResponse answer, final Class<T> type) throws StoreException {
            try {
                return JsonCodec.read(answer.body(), type);
            } catch (IOException exception) {
                throw malformed(exception.getMessage(), exception);
            }
        }

        private StoreException malformed(final String reason, final Exception cause) {
            return new StoreException(
                    "the store at " + address + " gave an invalid answer to " + describe() + ": " + reason,
                    isWrite(),
                    cause);
        }

        private StoreException refusal(final HttpResponse answer) {
            String wait = answer.header(StoreProtocol.RETRY_AFTER)
                    .map(seconds -> ", retry after " + seconds + " s")
                    .orElse("");
            return new StoreException(
                    "the store at " + address + " refused " + describe() + " with status " + answer.status() + wait,
                    isWrite() && !isWithoutEffect(answer.status()));
        }

        /** Statuses by which the protocol states that nothing was done. */
        private static boolean isWithoutEffect(final int status) {
            return status >= StatusCodes.BAD_REQUEST && status < StatusCodes.INTERNAL_SERVER_ERROR
                    || status == StatusCodes.SERVICE_UNAVAILABLE;
        }
    }
}
