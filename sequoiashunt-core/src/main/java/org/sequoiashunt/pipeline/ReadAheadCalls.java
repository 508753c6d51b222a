package org.sequoiashunt.pipeline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.mesh.MeshCall;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.mesh.RequestKind;

/**
 * Calls of one connection that run before the requests in front of them have been answered.
 *
 * <p>Decides which pipelined requests run ahead, and whether a request that the server reaches takes the call that runs
 * already. Answers the load pattern of callers that send several idempotent requests on a connection, where one slow
 * request delays all behind it.
 *
 * <p>Thread-safe: guarded by this object's monitor, which is not held while a call is dispatched or cancelled.
 * Invariants: the calls are those of the first requests behind the current one, without a gap; each call is taken once
 * or cancelled; nothing is dispatched after the end of the connection.
 */
public final class ReadAheadCalls {

    /** A result is held in memory until its turn; eight requests of 100 ms cover most of the time a caller waits. */
    static final int MAXIMUM_CALLS = 8;

    /** Value of the kept bytes of a call that was taken or discarded. */
    private static final long RELEASED = -1;

    private final ReadAheadBudget budget;
    private final Observer observer;
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private Entry current;
    private boolean closed;

    /**
     * Creates an empty list of calls.
     *
     * @param budget the budget of all connections, not null.
     * @param observer receives each decision, not null.
     */
    public ReadAheadCalls(final ReadAheadBudget budget, final Observer observer) {
        this.budget = Objects.requireNonNull(budget, "budget");
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /** What becomes of a request that is read ahead. */
    public enum Step {
        /** Its call was dispatched ahead. */
        READ,
        /** The request was reached and took the call. */
        USED,
        /** The call was cancelled or its result dropped. */
        DISCARDED
    }

    /** Receives the decisions. */
    public interface Observer {

        /** Receives one decision on a request of a route; must not block. */
        void observe(MeshRoute route, Step step);
    }

    /** Creates and dispatches calls. */
    public interface Dispatcher {

        /** Returns the request that a head stands for; empty if it is not permitted or has no route. */
        Optional<Request> prepare(RequestHead head);

        /** Dispatches the call of a request. */
        CompletableFuture<CallResult> dispatch(Request request);
    }

    /**
     * Request with its route. Immutable and thread-safe.
     *
     * @param call the call.
     * @param route the route.
     */
    public record Request(MeshCall call, MeshRoute route) {}

    /**
     * Call that runs or has ended.
     *
     * @param call the call.
     * @param result its result.
     */
    public record RunningCall(MeshCall call, CompletableFuture<CallResult> result) {}

    /** Call that runs ahead, with the length of the head of its request. */
    private record Entry(Request request, CompletableFuture<CallResult> result, int lengthBytes, AtomicLong keptBytes) {

        /** Counts the bytes of the result from when it is there until the call is taken or discarded. */
        private void count(final ReadAheadBudget budget) {
            result.thenAccept(ended -> {
                long bytes = ended.response()
                        .map(response -> response.body().bytes().length)
                        .orElse(0);
                if (keptBytes.compareAndSet(0, bytes)) {
                    budget.addBytes(bytes);
                }
            });
        }

        private void release(final ReadAheadBudget budget) {
            budget.addBytes(-Math.max(0, keptBytes.getAndSet(RELEASED)));
            budget.release();
        }
    }

    /**
     * Dispatches the calls of requests that have arrived behind the current one, in order, until one may not run ahead.
     * Called by one thread at a time.
     *
     * @param bytes all bytes that have arrived behind the current request, not null.
     * @param maximumHeadBytes the largest length of a head, in bytes.
     * @param dispatcher creates and dispatches the calls, not null.
     */
    public void advance(final byte[] bytes, final int maximumHeadBytes, final Dispatcher dispatcher) {
        int offset = waitingBytes();
        while (offset < bytes.length && hasRoom()) {
            Optional<RequestHead> head = RequestHeadParser.parse(bytes, offset, maximumHeadBytes);
            Optional<Request> request = head.flatMap(dispatcher::prepare).filter(ReadAheadCalls::mayRunAhead);
            if (request.isEmpty() || !budget.tryAcquire()) {
                return;
            }
            int lengthBytes = head.get().lengthBytes();
            add(new Entry(request.get(), dispatcher.dispatch(request.get()), lengthBytes, new AtomicLong()));
            offset += lengthBytes;
        }
    }

    /** Large responses would be held in memory until their turn, so downloads do not run ahead. */
    private static boolean mayRunAhead(final Request request) {
        return request.route().kind() == RequestKind.IDEMPOTENT;
    }

    private synchronized boolean hasRoom() {
        return !closed && waiting.size() < MAXIMUM_CALLS;
    }

    private synchronized int waitingBytes() {
        return waiting.stream().mapToInt(Entry::lengthBytes).sum();
    }

    private void add(final Entry entry) {
        observer.observe(entry.request().route(), Step.READ);
        entry.count(budget);
        boolean late;
        synchronized (this) {
            late = closed;
            if (!late) {
                waiting.add(entry);
            }
        }
        if (late) {
            discard(List.of(entry));
        }
    }

    /**
     * Starts the next request of the connection. Its call becomes the current one if the identity of the request
     * matches; otherwise the order is unknown and all calls are cancelled.
     *
     * @param requestId the identity of the request, null if it has none.
     */
    public void begin(final String requestId) {
        endCurrent();
        boolean matches;
        synchronized (this) {
            Entry first = waiting.peek();
            matches = first == null || first.request().call().requestId().equals(requestId);
            if (matches) {
                current = waiting.poll();
            }
        }
        if (!matches) {
            discardAll();
        }
    }

    /**
     * Takes the call that runs for the current request. The caller answers for it from then on.
     *
     * @param request the request as the server read it, not null.
     * @return the call with the time at which it was read; empty if there is none or it differs.
     */
    public Optional<RunningCall> take(final Request request) {
        Entry taken;
        boolean same;
        synchronized (this) {
            taken = current;
            same = taken != null && isSame(taken.request(), request);
            if (same) {
                current = null;
            }
        }
        if (taken == null) {
            return Optional.empty();
        }
        if (!same) {
            taken.result().cancel(true);
            return Optional.empty();
        }
        taken.release(budget);
        observer.observe(taken.request().route(), Step.USED);
        return Optional.of(new RunningCall(taken.request().call(), taken.result()));
    }

    /**
     * Returns whether a call for the current request that was not taken runs or may have run. The request must not be
     * refused with the promise that it has not run.
     *
     * @return false also if the call has ended and is known not to have run.
     */
    public boolean mayHaveRun() {
        CompletableFuture<CallResult> result;
        synchronized (this) {
            if (current == null) {
                return false;
            }
            result = current.result();
        }
        return !result.isDone()
                || result.isCompletedExceptionally()
                || result.join().outcome() != Outcome.NOT_RUN;
    }

    /**
     * Returns whether calls run for requests behind the current one. They reach targets, so the connection has to stay
     * open until their requests are answered.
     *
     * @return false if nothing runs ahead of the current request.
     */
    public synchronized boolean hasCallsBehind() {
        return !waiting.isEmpty();
    }

    /** Compares everything that a target gets or that decides who may send it, but not the times. */
    private static boolean isSame(final Request ahead, final Request reached) {
        MeshCall first = ahead.call();
        MeshCall second = reached.call();
        return ahead.route().equals(reached.route())
                && first.requestId().equals(second.requestId())
                && first.method().equals(second.method())
                && first.uri().equals(second.uri())
                && second.body().bytes().length == 0
                && first.organisation().equals(second.organisation())
                && first.organisationRank() == second.organisationRank()
                && isSame(first.headers(), second.headers());
    }

    private static boolean isSame(final List<HeaderField> first, final List<HeaderField> second) {
        if (first.size() != second.size()) {
            return false;
        }
        for (int index = 0; index < first.size(); index++) {
            if (!first.get(index).name().equalsIgnoreCase(second.get(index).name())
                    || !first.get(index).value().equals(second.get(index).value())) {
                return false;
            }
        }
        return true;
    }

    /** Ends the current request: its call is cancelled unless it was taken. */
    public void endCurrent() {
        Entry ended;
        synchronized (this) {
            ended = current;
            current = null;
        }
        if (ended != null) {
            discard(List.of(ended));
        }
    }

    /** Cancels all calls that were not taken. */
    public void discardAll() {
        List<Entry> ended;
        synchronized (this) {
            ended = new ArrayList<>(waiting);
            waiting.clear();
        }
        endCurrent();
        discard(ended);
    }

    /** Cancels all calls that were not taken; later requests do not run ahead. */
    public void close() {
        synchronized (this) {
            closed = true;
        }
        discardAll();
    }

    private void discard(final List<Entry> entries) {
        for (Entry entry : entries) {
            entry.result().cancel(true);
            entry.release(budget);
            observer.observe(entry.request().route(), Step.DISCARDED);
        }
    }
}
