package org.sequoiashunt.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.jboss.logging.Logger;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.commit.HttpStore;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.ConfigurationSnapshot;
import org.sequoiashunt.dispatch.CallDispatcher;
import org.sequoiashunt.dispatch.CallIdGenerator;
import org.sequoiashunt.dispatch.LocalFirstGateCaller;
import org.sequoiashunt.execution.CrashTracker;
import org.sequoiashunt.gate.NodeGate;
import org.sequoiashunt.http.PooledHttpClient;
import org.sequoiashunt.http.Timers;
import org.sequoiashunt.lead.NodePorts;
import org.sequoiashunt.lead.ReplicaNode;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.lifecycle.ResourceCloseException;
import org.sequoiashunt.link.LinkClient;
import org.sequoiashunt.link.LinkContext;
import org.sequoiashunt.link.LinkCounters;
import org.sequoiashunt.link.LinkIdentity;
import org.sequoiashunt.link.LinkLimits;
import org.sequoiashunt.link.LinkServer;
import org.sequoiashunt.link.LinkThreads;
import org.sequoiashunt.link.MessageCodec;
import org.sequoiashunt.membership.MembershipSettings;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.replication.Contacts;
import org.sequoiashunt.routing.MemberCandidates;
import org.sequoiashunt.routing.MoveVersionSelector;
import org.sequoiashunt.routing.RoutingTable;
import org.sequoiashunt.routing.TargetSelector;
import org.sequoiashunt.time.Clock;
import org.xnio.XnioWorker;

/**
 * One running node: all parts joined, its listeners open.
 *
 * <p>Open it with {@link #open}, let it leave with {@link #drain()}, then close it. Thread-safe.
 */
public final class NodeServer implements AutoCloseable {

    /** Time for a departure to reach the other nodes before the link is closed. */
    private static final long DEPARTURE_MS = 300;

    private static final long STORE_TIMEOUT_MS = 2_000;
    private static final long DRAIN_POLL_MS = 20;
    private static final long EVICTION_PERIOD_MS = 60_000;
    private static final Logger LOGGER = Logger.getLogger(NodeServer.class);

    private final Closer closer = new Closer();
    private final Clock clock = SystemClock.start();
    private final Random random = new Random();
    private final ControlLoop loop = new ControlLoop();
    private final AtomicReference<RoutingTable> routingTable = new AtomicReference<>(RoutingTable.EMPTY);
    private final NodeSettings settings;
    private final NodeMetrics metrics = new NodeMetrics();
    private final CallerAdmission admission = CallerAdmission.standard();
    private final List<BlockingLoop> storeLoops = new ArrayList<>();
    private ReplicaNode replica;
    private NodeGate gate;
    private LinkServer linkServer;
    private TargetSelector selector;

    private NodeServer(final NodeSettings settings) {
        this.settings = settings;
    }

    /**
     * Starts a node.
     *
     * @param settings the settings, not null.
     * @return the node, joining the others.
     * @throws IOException if an address cannot be bound; nothing is left open.
     */
    public static NodeServer open(final NodeSettings settings) throws IOException {
        NodeServer server = new NodeServer(settings);
        try {
            server.start();
            return server;
        } catch (IOException | RuntimeException exception) {
            server.closeAfter(exception);
            throw exception;
        }
    }

    private void closeAfter(final Exception failure) {
        try {
            closer.close();
        } catch (ResourceCloseException exception) {
            failure.addSuppressed(exception);
        }
    }

    private void start() throws IOException {
        XnioWorker worker = closer.register(new ClientWorker()).worker();
        StoreAccess store = StoreAccess.of(HttpStore.of(settings.store(), worker, STORE_TIMEOUT_MS), clock);
        LinkContext context = linkContext();
        LinkClient link = closer.register(LinkClient.open(context, random));
        PeerSender sender = new LoopbackSender(settings.node(), settings.link(), loop, link);
        replica = createReplica(store, sender);
        RolloutComponents rollout = RolloutComponents.of(settings, replica, store.moves(), clock, random);
        ClaimComponents claims = ClaimComponents.of(settings, replica, store.rosters(), sender, clock, random);
        CrashTracker crashes = new CrashTracker(settings.node(), replica.blackboard(), clock);
        PooledHttpClient exchanger = closer.register(PooledHttpClient.of(worker, clock, settings.maximumBodyBytes()));
        gate = new NodeGate(clock, new UndertowTargetCaller(exchanger, clock), rollout.ledger(), crashes);
        selector = new TargetSelector(settings.failureDomain(), settings.region(), clock, random);
        CallDispatcher dispatcher = new CallDispatcher(collaborators(link, rollout, claims));
        addControllers(rollout, claims, crashes);
        linkServer = closer.register(LinkServer.open(
                context,
                new InetSocketAddress(settings.link().host(), settings.link().port()),
                gate,
                loop));
        metrics.observe(loop, gate, replica, context.counters());
        openListeners(dispatcher);
        closer.register(loop);
        loop.start();
        startTask("statistics-eviction", this::evictStatistics);
        replica.tasks().forEach(task -> startTask("store-" + task.getClass().getSimpleName(), task));
        startTask("rollout-sealing", rollout.sealing());
        startTask("roster-upkeep", claims.guards());
    }

    private LinkContext linkContext() {
        LinkThreads threads = closer.register(LinkThreads.start());
        return new LinkContext(
                threads,
                new LinkIdentity(settings.node(), clock.nowMs()),
                LinkLimits.standard().withBodies(settings.maximumBodyBytes()),
                clock,
                MessageCodec.standard(),
                new LinkCounters());
    }

    private ReplicaNode createReplica(final StoreAccess store, final PeerSender sender) {
        NodeIdentity identity =
                new NodeIdentity(settings.node(), settings.failureDomain(), settings.region(), settings.link());
        Contacts contacts = new Contacts();
        contacts.add(settings.failureDomain(), settings.region(), settings.contacts());
        NodePorts ports = new NodePorts(clock, sender, store.store(), store.domains(), store.source());
        return new ReplicaNode(
                identity, MembershipSettings.defaults(), ports, contacts, this::apply, random.nextLong());
    }

    private void apply(final ConfigurationSnapshot snapshot) throws ConfigurationException {
        try {
            long version = snapshot.head().version();
            routingTable.set(RoutingTable.of(version, snapshot.services().values()));
            LOGGER.infof(
                    "configuration in force version=%d commit=%s",
                    version, snapshot.head().commitId());
        } catch (IllegalArgumentException exception) {
            throw new ConfigurationException(exception.getMessage(), exception);
        }
    }

    private CallDispatcher.Dependencies collaborators(
            final LinkClient link, final RolloutComponents rollout, final ClaimComponents claims) {
        return new CallDispatcher.Dependencies(
                clock,
                routingTable::get,
                new MoveVersionSelector(rollout.shares(), random),
                new MemberCandidates(() -> replica.membership().view()),
                selector,
                new LocalFirstGateCaller(settings.link(), gate, link),
                claims.coordinator(),
                new CallIdGenerator(settings.node(), clock.nowMs()),
                (candidate, request, result, durationMs) -> rollout.detector()
                        .record(
                                candidate.node(),
                                request.service(),
                                request.targetVersion(),
                                request.route(),
                                result,
                                durationMs));
    }

    private void addControllers(
            final RolloutComponents rollout, final ClaimComponents claims, final CrashTracker crashes) {
        loop.add(new TargetPublisher(gate, replica.membership(), rollout.ledger()));
        loop.add(replica);
        loop.add(claims.coordinator());
        loop.add(claims.guards());
        loop.add(rollout.ledger());
        loop.add(rollout.detector());
        loop.add(rollout.controller());
        loop.add(crashes);
        loop.add(new StateLog(replica, settings.failureDomain()));
    }

    private void openListeners(final CallDispatcher dispatcher) throws IOException {
        Timers timers = closer.register(new Timers());
        CallerHandler callers =
                new CallerHandler(dispatcher, admission, metrics.calls(), timers, settings.maximumBodyBytes());
        NodeStatusReader status = new NodeStatusReader(settings, replica, gate);
        AdminHandler admin = new AdminHandler(gate, status::read, metrics::read);
        closer.register(HttpListener.open("callers", settings.callers(), callers));
        closer.register(HttpListener.open("admin", settings.admin(), admin));
    }

    private long evictStatistics() {
        selector.evictUnused();
        return EVICTION_PERIOD_MS;
    }

    private void startTask(final String name, final BlockingTask task) {
        storeLoops.add(closer.register(BlockingLoop.start(name, task)));
    }

    /**
     * Lets the node leave: new work ends at once, work in flight ends by itself, then the others are told.
     *
     * @throws InterruptedException if the thread is interrupted.
     */
    public void drain() throws InterruptedException {
        LOGGER.infof("draining node=%s", settings.node());
        replica.membership().drain();
        CompletableFuture<Void> drained = CompletableFuture.allOf(gate.drain(), admission.drain());
        long endMs = clock.nowMs() + settings.drainMs();
        boolean complete = await(drained) && awaitLinkCalls(endMs);
        replica.membership().leave();
        Thread.sleep(DEPARTURE_MS);
        releaseLead();
        LOGGER.infof("drained node=%s complete=%s", settings.node(), complete);
    }

    /** Another node need not wait for the end of the lease, nor a commit for another lead. */
    private void releaseLead() throws InterruptedException {
        for (BlockingLoop storeLoop : storeLoops) {
            storeLoop.close();
        }
        replica.lease().release();
    }

    private boolean await(final CompletableFuture<Void> drained) throws InterruptedException {
        try {
            drained.get(settings.drainMs(), TimeUnit.MILLISECONDS);
            return true;
        } catch (ExecutionException | TimeoutException exception) {
            return false;
        }
    }

    private boolean awaitLinkCalls(final long endMs) throws InterruptedException {
        while (linkServer.outstandingCalls() > 0) {
            if (clock.nowMs() >= endMs) {
                return false;
            }
            Thread.sleep(DRAIN_POLL_MS);
        }
        return true;
    }

    @Override
    public void close() throws ResourceCloseException {
        closer.close();
    }
}
