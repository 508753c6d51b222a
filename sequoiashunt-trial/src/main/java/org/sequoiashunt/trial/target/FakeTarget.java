package org.sequoiashunt.trial.target;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiashunt.http.Timers;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.trial.target.TargetAnnouncer.Announcement;

/**
 * Fake target of a service for demonstrations and process tests: answers each request with the request name that
 * the caller sent and the target's version, and counts the requests.
 *
 * <p>Thread-safe. {@link #close()} stops the target without withdrawing its announcement, as a crash would;
 * {@link #withdraw()} withdraws it.
 */
public final class FakeTarget implements AutoCloseable {

    /** Header by which callers name a request; the answer repeats it. */
    public static final String REQUEST_NAME_HEADER = "Trial-Request";

    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 4;

    private final Undertow server;
    private final TargetAnnouncer announcer;
    private final RunLog runLog;
    private final Timers timers = new Timers();
    private final String version;
    private final long serviceTimeMs;
    private final AtomicLong runs = new AtomicLong();
    private volatile TargetBehaviour behaviour;

    private FakeTarget(
            final Announcement announcement,
            final String host,
            final TargetBehaviour behaviour,
            final long serviceTimeMs,
            final RunLog runLog) {
        this.version = announcement.version();
        this.behaviour = behaviour;
        this.serviceTimeMs = serviceTimeMs;
        this.runLog = runLog;
        this.server = Undertow.builder()
                .addHttpListener(0, host)
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setHandler(this::handle)
                .build();
        server.start();
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        this.announcer = new TargetAnnouncer(announcement, new NodeAddress(host, bound.getPort()));
    }

    /**
     * Starts a target that announces itself.
     *
     * @param announcement the announced properties of the target and the node that receives them, not null.
     * @param host the IP number to listen on, not null.
     * @param behaviour how the target answers requests, not null.
     * @param serviceTimeMs the time to process a request, in milliseconds; {@link TargetBehaviour#IMMEDIATE} skips it.
     * @param runLog counts the runs of each named request, not null.
     * @return the running target, never null.
     */
    public static FakeTarget start(
            final Announcement announcement,
            final String host,
            final TargetBehaviour behaviour,
            final long serviceTimeMs,
            final RunLog runLog) {
        Objects.requireNonNull(announcement, "announcement");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(behaviour, "behaviour");
        Objects.requireNonNull(runLog, "runLog");
        return new FakeTarget(announcement, host, behaviour, serviceTimeMs, runLog);
    }

    /**
     * Changes how later requests are answered.
     *
     * @param newBehaviour the behaviour, not null.
     */
    public void setBehaviour(final TargetBehaviour newBehaviour) {
        behaviour = Objects.requireNonNull(newBehaviour, "newBehaviour");
    }

    /**
     * Returns the address that takes requests.
     *
     * @return the address, never null.
     */
    public NodeAddress address() {
        return announcer.targetAddress();
    }

    /**
     * Returns the number of requests that reached this target.
     *
     * @return the number since the start, zero or more.
     */
    public long runs() {
        return runs.get();
    }

    /** Withdraws the announcement; the target continues to answer requests. */
    public void withdraw() {
        announcer.withdraw();
    }

    @Override
    public void close() {
        announcer.close();
        server.stop();
        timers.close();
    }

    private void handle(final HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes((received, body) -> {
            String requestName = received.getRequestHeaders().getFirst(REQUEST_NAME_HEADER);
            runs.incrementAndGet();
            if (requestName != null) {
                runLog.addRun(requestName);
            }
            if (behaviour == TargetBehaviour.IMMEDIATE) {
                answer(received, requestName);
                return;
            }
            long delayMs = serviceTimeMs + behaviour.delayMs();
            received.dispatch(() ->
                    timers.after(delayMs, () -> received.getIoThread().execute(() -> answer(received, requestName))));
        });
    }

    private void answer(final HttpServerExchange exchange, final String requestName) {
        boolean failed = ThreadLocalRandom.current().nextDouble() < behaviour.failureShare();
        exchange.setStatusCode(failed ? StatusCodes.INTERNAL_SERVER_ERROR : StatusCodes.OK);
        exchange.getResponseSender().send(requestName + " " + version + "\n", StandardCharsets.UTF_8);
    }
}
