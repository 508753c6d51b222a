package org.sequoiashunt.link;

import io.netty.util.concurrent.Future;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.GateCaller;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.link.LinkCounters.Count;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;

/**
 * Sends control messages and calls to other nodes, over one link per peer.
 *
 * <p>Open one per node with {@link #open}. Links open when first used and close when idle.
 *
 * <p>Thread-safe; never blocks. The links are confined to the client loop of {@link LinkThreads}.
 */
public final class LinkClient implements PeerSender, GateCaller, AutoCloseable {

    private static final long BUSY_TICK_MS = 25;
    private static final long IDLE_TICK_MS = 100; // A timer with a period of 25 ms used 0.5% of a core at rest.

    private final LinkContext context;
    private final LinkBudgets budgets;
    private final RandomGenerator random;
    private final Map<NodeAddress, Link> links = new ConcurrentHashMap<>();
    private Future<?> nextTick;
    private boolean busy;
    private volatile boolean closed;

    private LinkClient(final LinkContext context, final RandomGenerator random) {
        this.context = context;
        this.budgets = LinkBudgets.of(context.limits());
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Creates a client.
     *
     * @param context objects shared with the server of the node, not null.
     * @param random random source for reconnect delays, used by one thread, not null.
     * @return the client, never null.
     */
    public static LinkClient open(final LinkContext context, final RandomGenerator random) {
        LinkClient client = new LinkClient(context, random);
        context.threads().clientLoop().execute(client::tick);
        return client;
    }

    @Override
    public void send(final NodeAddress receiver, final ControlMessage message) {
        send(List.of(receiver), message);
    }

    /** Encodes the message once, because a configuration or a report is sent to many nodes. */
    @Override
    public void send(final Collection<NodeAddress> receivers, final ControlMessage message) {
        List<NodeAddress> addresses = List.copyOf(receivers);
        Frame frame = FrameFactory.of(context.codec().encode(message));
        if (frame.getSerializedSize() > context.limits().maximumFrameBytes()) {
            context.counters().add(Count.CONTROL_MESSAGES_DROPPED, addresses.size());
        } else if (!addresses.isEmpty()) {
            context.threads().clientLoop().execute(() -> addresses.forEach(receiver -> sendFrame(receiver, frame)));
        }
    }

    @Override
    public CompletableFuture<CallResult> call(final NodeAddress gate, final CallRequest request) {
        Objects.requireNonNull(gate, "gate");
        Objects.requireNonNull(request, "request");
        long nowMs = context.clock().nowMs();
        if (request.deadlineMs() <= nowMs) {
            return CompletableFuture.completedFuture(CallResult.notRun(Reason.DEADLINE));
        }
        CompletableFuture<CallResult> future = new CompletableFuture<>();
        Optional<Link> link = findOrCreateLink(gate);
        while (link.isPresent()) {
            if (link.get().calls().isFull()) {
                return CompletableFuture.completedFuture(CallResult.notRun(Reason.QUEUE_FULL));
            }
            Optional<InFlightCall> call = link.get().calls().add(request, future, nowMs);
            if (call.isPresent()) {
                startCall(link.get(), call.get());
                return future;
            }
            links.remove(gate, link.get());
            link = findOrCreateLink(gate);
        }
        return CompletableFuture.completedFuture(CallResult.notRun(Reason.CONNECTION_FAILED));
    }

    @Override
    public void withdrawCall(final NodeAddress gate, final String callId) {
        Objects.requireNonNull(callId, "callId");
        Link link = links.get(Objects.requireNonNull(gate, "gate"));
        if (link != null) {
            context.threads().clientLoop().execute(() -> link.withdraw(callId));
        }
    }

    /**
     * Counts the calls to other nodes that have not ended.
     *
     * @return the number of calls.
     */
    public int callsInFlight() {
        return links.values().stream().mapToInt(link -> link.calls().size()).sum();
    }

    /** Ends all calls and closes all links; later calls end as not run. */
    @Override
    public void close() {
        closed = true;
        for (Link link : links.values()) {
            link.calls().close();
            context.threads().clientLoop().execute(link::close);
        }
        links.clear();
    }

    private void sendFrame(final NodeAddress receiver, final Frame frame) {
        Optional<Link> link = findOrCreateLink(receiver);
        if (link.isEmpty()) {
            context.counters().increment(Count.CONTROL_MESSAGES_DROPPED);
            return;
        }
        link.get().sendControl(frame);
        tickSoonIfBusy(link.get());
    }

    private void startCall(final Link link, final InFlightCall call) {
        call.future().whenComplete((result, failure) -> {
            if (failure != null) {
                context.threads().clientLoop().execute(() -> link.cancel(call));
            }
        });
        context.threads().clientLoop().execute(() -> {
            link.sendOrConnect();
            tickSoonIfBusy(link);
        });
        if (closed) {
            link.calls().close();
        }
    }

    private Optional<Link> findOrCreateLink(final NodeAddress address) {
        Link link = links.get(address);
        if (closed) {
            return Optional.empty();
        }
        if (link == null && links.size() < context.limits().maximumConnections()) {
            link = links.computeIfAbsent(address, key -> new Link(key, context, budgets, new ReconnectDelay(random)));
        }
        return Optional.ofNullable(link);
    }

    private void tick() {
        busy = false;
        for (Link link : links.values()) {
            if (link.tick()) {
                links.remove(link.address(), link);
            }
            busy |= link.needsFrequentTicks();
        }
        scheduleTick();
    }

    private void tickSoonIfBusy(final Link link) {
        if (!busy && link.needsFrequentTicks()) {
            busy = true;
            nextTick.cancel(false);
            scheduleTick();
        }
    }

    private void scheduleTick() {
        if (!closed) {
            nextTick = context.threads()
                    .clientLoop()
                    .schedule(this::tick, busy ? BUSY_TICK_MS : IDLE_TICK_MS, TimeUnit.MILLISECONDS);
        }
    }
}
