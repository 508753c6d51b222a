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
 * Fake target of a service for demonstrations and process tests: answers each request with the caller's own name for
 * it and its own version, and counts the runs.
 *
 * <p>Thread-safe. Close it to make the target die without a word; {@link #leave()} withdraws it first.
 */
public final class FakeTarget implements AutoCloseable {

    /** Header by which callers name a request; the answer repeats it. */
    public static final String REQUEST_NAME = "Trial-Request";

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
     * @param announcement what it says about itself and to which node, not null.
     * @param host the IP number to listen on, not null.
     * @param behaviour how it treats requests, not null.
     * @param serviceTimeMs the time that each request takes, in milliseconds.
     * @param runLog counts the runs, not null.
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
     * Changes how requests are treated from now on.
     *
     * @param newBehaviour the behaviour, not null.
     */
    public void behave(final TargetBehaviour newBehaviour) {
        behaviour = Objects.requireNonNull(newBehaviour, "newBehaviour");
    }

    /**
     * Returns the address that takes requests.
     *
     * @return the address, never null.
     */
    public NodeAddress address() {
        return announcer.target();
    }

    /**
     * Counts the requests that reached this target.
     *
     * @return the number of requests.
     */
    public long runs() {
        return runs.get();
    }

    /** Withdraws the announcement; the target goes on answering. */
    public void leave() {
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
            String name = received.getRequestHeaders().getFirst(REQUEST_NAME);
            runs.incrementAndGet();
            if (name != null) {
                runLog.ran(name);
            }
            if (behaviour == TargetBehaviour.IMMEDIATE) {
                answer(received, name);
                return;
            }
            long delayMs = serviceTimeMs + behaviour.delayMs();
            received.dispatch(() ->
                    timers.after(delayMs, () -> received.getIoThread().execute(() -> answer(received, name))));
        });
    }

    private void answer(final HttpServerExchange exchange, final String name) {
        boolean failed = ThreadLocalRandom.current().nextDouble() < behaviour.failureShare();
        exchange.setStatusCode(failed ? StatusCodes.INTERNAL_SERVER_ERROR : StatusCodes.OK);
        exchange.getResponseSender().send(name + " " + version + "\n", StandardCharsets.UTF_8);
    }
}
