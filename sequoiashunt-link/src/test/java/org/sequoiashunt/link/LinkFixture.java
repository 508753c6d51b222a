package org.sequoiashunt.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallHandler;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.lifecycle.ResourceCloseException;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;

/** Link server and link client on loopback, with a call handler whose calls are completed by the test. */
final class LinkFixture implements AutoCloseable {

    static final long WAIT_MS = 5_000;
    static final Clock CLOCK = () -> System.nanoTime() / 1_000_000;

    final LinkCounters serverCounters = new LinkCounters();
    final LinkCounters clientCounters = new LinkCounters();
    final Queue<ControlMessage> received = new ConcurrentLinkedQueue<>();
    final ManualHandler handler = new ManualHandler();
    final LinkServer server;
    final LinkClient client;
    private final Clock serverClock;
    private final Closer closer = new Closer();
    private final LinkThreads threads = closer.register(LinkThreads.start());

    LinkFixture() throws IOException {
        this(LinkLimits.standard());
    }

    LinkFixture(final LinkLimits limits) throws IOException {
        this(limits, CLOCK);
    }

    LinkFixture(final LinkLimits limits, final Clock serverClock) throws IOException {
        this.serverClock = serverClock;
        server = openServer(limits, 1, 0);
        client = closer.register(
                LinkClient.open(context(limits, CLOCK, new LinkIdentity("entry", 1), clientCounters), random()));
    }

    /** Opens the link before the test, because class loading may take longer than the time-outs of the protocol. */
    void warmUp() throws InterruptedException, TimeoutException {
        await(() -> {
            client.send(address(), new TextMessage("warm-up"));
            return !received.isEmpty();
        });
    }

    LinkServer openServer(final LinkLimits limits, final long incarnation, final int port) throws IOException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        LinkContext context = context(limits, serverClock, new LinkIdentity("gate", incarnation), serverCounters);
        return closer.register(LinkServer.open(context, address, handler, (sender, message) -> received.add(message)));
    }

    /** Opens a server with another incarnation and returns whether the port of the closed server was free again. */
    boolean tryRestartServer(final long incarnation, final int port) {
        try {
            openServer(LinkLimits.standard(), incarnation, port);
            return true;
        } catch (IOException exception) {
            return false;
        }
    }

    NodeAddress address() {
        return server.address();
    }

    static CallRequest request(final String callId, final long timeoutMs) {
        return request(callId, timeoutMs, Body.of(callId.getBytes()));
    }

    static CallRequest request(final String callId, final long timeoutMs, final Body body) {
        return requestUntil(callId, CLOCK.nowMs() + timeoutMs, body);
    }

    static CallRequest requestUntil(final String callId, final long deadlineMs, final Body body) {
        return new CallRequest(
                callId,
                "registry-desk",
                "lookup",
                "v1",
                "desk-1",
                "POST",
                "/plates?x=1",
                List.of(new HeaderField("Content-Type", "text/plain")),
                body,
                false,
                Optional.of("key-" + callId),
                deadlineMs);
    }

    static CallResult answer(final Body body) {
        return CallResult.complete(new CallResponse(200, List.of(new HeaderField("A", "b")), body));
    }

    static CallResult await(final CompletableFuture<CallResult> call)
            throws InterruptedException, ExecutionException, TimeoutException {
        return call.get(WAIT_MS, TimeUnit.MILLISECONDS);
    }

    static void await(final BooleanSupplier condition) throws InterruptedException, TimeoutException {
        long endMs = CLOCK.nowMs() + WAIT_MS;
        while (!condition.getAsBoolean()) {
            if (CLOCK.nowMs() > endMs) {
                throw new TimeoutException("condition not met within " + WAIT_MS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    @Override
    public void close() throws ResourceCloseException {
        closer.close();
    }

    private LinkContext context(
            final LinkLimits limits, final Clock clock, final LinkIdentity identity, final LinkCounters counters) {
        MessageCodec codec = MessageCodec.of(List.of(new TextMessage.Codec()));
        return new LinkContext(threads, identity, limits, clock, codec, counters);
    }

    private static RandomGenerator random() {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(1);
    }

    /** Call handler that keeps every call running until the test completes it. */
    static final class ManualHandler implements CallHandler {

        final Queue<CallRequest> requests = new ConcurrentLinkedQueue<>();
        final Queue<CompletableFuture<CallResult>> runs = new ConcurrentLinkedQueue<>();
        final Queue<String> withdrawals = new ConcurrentLinkedQueue<>();

        @Override
        public void withdrawCall(final String callId) {
            withdrawals.add(callId);
        }

        @Override
        public CompletableFuture<CallResult> handle(final CallRequest request) {
            CompletableFuture<CallResult> run = new CompletableFuture<>();
            requests.add(request);
            runs.add(run);
            return run;
        }
    }
}
