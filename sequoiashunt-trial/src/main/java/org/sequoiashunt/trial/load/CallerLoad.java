package org.sequoiashunt.trial.load;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.http.HttpException;
import org.sequoiashunt.http.PooledHttpClient;
import org.sequoiashunt.node.CallHeaders;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.trial.target.RunLog;

/**
 * Callers that send lookups and reservations at a fixed rate to the entries of a deployment, whatever the answers.
 *
 * <p>A request that is refused, or whose entry is gone, is sent again at another entry until it is answered or its time
 * is over; a reservation keeps its key. Thread-safe.
 */
public final class CallerLoad implements AutoCloseable {

    private static final long TIMEOUT_MS = 5_000;
    private static final long RESEND_PAUSE_MS = 250;
    private static final int MAXIMUM_SENDS = 40;
    private static final int RESERVATION_EVERY = 5;
    private static final AtomicLong LOADS = new AtomicLong();

    private final PooledHttpClient exchanger;
    private final Supplier<List<NodeAddress>> entries;
    private final List<String> services;
    private final RunLog runLog;
    private final String name = "load-" + LOADS.incrementAndGet();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final ScheduledExecutorService resender = Executors.newSingleThreadScheduledExecutor();
    private final ConcurrentHashMap<TrialRequest, RequestEnd> requests = new ConcurrentHashMap<>();
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong resends = new AtomicLong();
    private final AtomicLong cuts = new AtomicLong();

    /**
     * Creates callers that do not send yet.
     *
     * @param exchanger sends the requests, not null.
     * @param entries gives the entries to choose from, not null.
     * @param services the services to call in turn, not empty.
     * @param runLog tells what targets ran, not null.
     */
    public CallerLoad(
            final PooledHttpClient exchanger,
            final Supplier<List<NodeAddress>> entries,
            final List<String> services,
            final RunLog runLog) {
        this.exchanger = Objects.requireNonNull(exchanger, "exchanger");
        this.entries = Objects.requireNonNull(entries, "entries");
        this.services = List.copyOf(services);
        this.runLog = Objects.requireNonNull(runLog, "runLog");
    }

    /**
     * Starts to send.
     *
     * @param perSecond requests a second, positive.
     */
    public void start(final int perSecond) {
        long periodMicros = TimeUnit.SECONDS.toMicros(1) / perSecond;
        scheduler.scheduleAtFixedRate(this::sendNext, 0, periodMicros, TimeUnit.MICROSECONDS);
    }

    /**
     * Stops to send and waits until each request has ended.
     *
     * @return what became of them.
     * @throws InterruptedException if the thread is interrupted.
     */
    public LoadSummary stop() throws InterruptedException {
        scheduler.shutdown();
        scheduler.awaitTermination(1, TimeUnit.SECONDS);
        long waitedMs = 0;
        while (waitedMs < MAXIMUM_SENDS * (TIMEOUT_MS + RESEND_PAUSE_MS) && requests.containsValue(RequestEnd.NONE)) {
            Thread.sleep(RESEND_PAUSE_MS);
            waitedMs += RESEND_PAUSE_MS;
        }
        return summary();
    }

    /**
     * Counts what has become of the requests so far.
     *
     * @return the counts.
     */
    public LoadSummary summary() {
        return new LoadSummary(
                requests.size(),
                count(RequestEnd.ANSWERED),
                count(RequestEnd.FAILED_BY_TARGET),
                count(RequestEnd.NOT_RUN),
                count(RequestEnd.UNKNOWN) + count(RequestEnd.NONE),
                count(RequestEnd.WRONG_ANSWER),
                requests.entrySet().stream()
                        .filter(entry -> !entry.getKey().reservation())
                        .filter(entry -> !entry.getValue().isFinal())
                        .count(),
                requests.keySet().stream()
                        .filter(request -> request.reservation() && runLog.runCount(request.name()) > 1)
                        .count(),
                requests.entrySet().stream()
                        .filter(entry -> entry.getValue() == RequestEnd.NOT_RUN
                                && runLog.runCount(entry.getKey().name()) > 0)
                        .count(),
                resends.get(),
                cuts.get());
    }

    private long count(final RequestEnd end) {
        return requests.values().stream().filter(value -> value == end).count();
    }

    private void sendNext() {
        long number = sequence.incrementAndGet();
        String service = services.get((int) (number % services.size()));
        TrialRequest request = new TrialRequest(name + "-request-" + number, service, number % RESERVATION_EVERY == 0);
        requests.put(request, RequestEnd.NONE);
        send(request, 1, RequestEnd.NOT_RUN);
    }

    private void send(final TrialRequest request, final int sends, final RequestEnd worst) {
        List<NodeAddress> present = entries.get();
        NodeAddress entry = present.get(ThreadLocalRandom.current().nextInt(present.size()));
        exchanger.send(entry, request.toHttp(), TIMEOUT_MS).whenComplete((answer, failure) -> {
            if (failure != null && !isNotSent(failure)) {
                cuts.incrementAndGet();
            }
            RequestEnd end = failure == null ? endOf(request, answer) : RequestEnd.UNKNOWN;
            ended(request, sends, end.worseOf(worst));
        });
    }

    private static boolean isNotSent(final Throwable failure) {
        return failure instanceof HttpException exception && exception.kind() == HttpException.Kind.NOT_SENT;
    }

    private void ended(final TrialRequest request, final int sends, final RequestEnd end) {
        if (end.isFinal() || sends >= MAXIMUM_SENDS) {
            requests.put(request, end);
            return;
        }
        resends.incrementAndGet();
        resender.schedule(() -> send(request, sends + 1, end), RESEND_PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    private static RequestEnd endOf(final TrialRequest request, final CallResponse answer) {
        String outcome = answer.headers().stream()
                .filter(field -> field.name().equalsIgnoreCase(CallHeaders.OUTCOME))
                .map(field -> field.value())
                .findFirst()
                .orElse("complete");
        if (outcome.equals("not-run")) {
            return RequestEnd.NOT_RUN;
        }
        if (outcome.equals("unknown")) {
            return RequestEnd.UNKNOWN;
        }
        String body = new String(answer.body().bytes(), StandardCharsets.UTF_8);
        if (!body.startsWith(request.name() + " ")) {
            return RequestEnd.WRONG_ANSWER;
        }
        return answer.status() < 500 ? RequestEnd.ANSWERED : RequestEnd.FAILED_BY_TARGET;
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        resender.shutdownNow();
    }
}
