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
import org.sequoiashunt.lead.ReplicaDependencies;
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
 * Runs one node: creates its components, connects them and opens its listeners.
 *
 * <p>Start it with {@link #open}, take it out of service with {@link #drain()}, then close it. Thread-safe.
 */
public final class NodeServer implements AutoCloseable {

    /** Time for the departure of this node to reach the other nodes before the link is closed. */
    private static final long DEPARTURE_PROPAGATION_MS = 300;

    private static final long STORE_TIMEOUT_MS = 2_000;
    private static final long DRAIN_POLL_MS = 20;
    private static final long EVICTION_PERIOD_MS = 60_000;
    private static final Logger LOGGER = Logger.getLogger(NodeServer.class);

    private final Closer closer = new Closer();
    private final Clock clock = SystemClock.start();
    private final Random random = new Random();
    private final ControlLoop controlLoop = new ControlLoop();
    private final AtomicReference<RoutingTable> routingTable = new AtomicReference<>(RoutingTable.EMPTY);
    private final NodeSettings settings;
    private final NodeMetrics metrics = new NodeMetrics();
    private final CallerAdmission admission = CallerAdmission.withDefaultLimits();
    private final List<BlockingLoop> blockingLoops = new ArrayList<>();
    private final List<HttpListener> listeners = new ArrayList<>();
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
     * @return the running node, which is joining the other nodes; never null.
     * @throws IOException if an address cannot be bound; all resources are closed then.
     */
    public static NodeServer open(final NodeSettings settings) throws IOException {
        NodeServer server = new NodeServer(settings);
        try {
            server.start();
            return server;
        } catch (IOException | RuntimeException exception) {
            server.closeAfterFailure(exception);
            throw exception;
        }
    }

    private void closeAfterFailure(final Exception failure) {
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
        PeerSender sender = new LoopbackSender(settings.node(), settings.link(), controlLoop, link);
        replica = createReplica(store, sender);
        RolloutComponents rollout = RolloutComponents.of(settings, replica, store.moves(), clock, random);
        ClaimComponents claims = ClaimComponents.of(settings, replica, store.rosters(), sender, clock, random);
        CrashTracker crashTracker = new CrashTracker(settings.node(), replica.blackboard(), clock);
        PooledHttpClient httpClient = closer.register(
                PooledHttpClient.of(worker, clock, settings.maximumBodyBytes(), CallHeaders.SINGLE_IN_RESPONSE));
        gate = new NodeGate(clock, new UndertowTargetCaller(httpClient, clock), rollout.collector(), crashTracker);
        selector = new TargetSelector(settings.failureDomain(), settings.region(), clock, random);
        CallDispatcher dispatcher = new CallDispatcher(dispatcherDependencies(link, rollout, claims));
        addControllers(rollout, claims, crashTracker);
        linkServer = closer.register(LinkServer.open(
                context,
                new InetSocketAddress(settings.link().host(), settings.link().port()),
                gate,
                controlLoop));
        metrics.registerGauges(controlLoop, gate, replica, context.counters());
        openListeners(dispatcher);
        closer.register(controlLoop);
        controlLoop.start();
        startTask("statistics-eviction", this::evictStatistics);
        replica.tasks().forEach(task -> startTask("store-" + task.getClass().getSimpleName(), task));
        startTask("rollout-sealing", rollout.synchronizationTask());
        startTask("roster-upkeep", claims.guards());
    }

    private LinkContext linkContext() {
        LinkThreads threads = closer.register(LinkThreads.start());
        return new LinkContext(
                threads,
                new LinkIdentity(settings.node(), clock.nowMs()),
                LinkLimits.standard().withMaximumBodyBytes(settings.maximumBodyBytes()),
                clock,
                MessageCodec.standard(),
                new LinkCounters());
    }

    private ReplicaNode createReplica(final StoreAccess store, final PeerSender sender) {
        NodeIdentity identity =
                new NodeIdentity(settings.node(), settings.failureDomain(), settings.region(), settings.link());
        Contacts contacts = new Contacts();
        contacts.add(settings.failureDomain(), settings.region(), settings.contacts());
        ReplicaDependencies ports =
                new ReplicaDependencies(clock, sender, store.store(), store.domains(), store.source());
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

    private CallDispatcher.Dependencies dispatcherDependencies(
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
            final RolloutComponents rollout, final ClaimComponents claims, final CrashTracker crashTracker) {
        controlLoop.add(new TargetPublisher(gate, replica.membership(), rollout.collector()));
        controlLoop.add(replica);
        controlLoop.add(claims.coordinator());
        controlLoop.add(claims.guards());
        controlLoop.add(rollout.collector());
        controlLoop.add(rollout.detector());
        controlLoop.add(rollout.controller());
        controlLoop.add(crashTracker);
        controlLoop.add(new StateLog(replica, settings.failureDomain()));
    }

    private void openListeners(final CallDispatcher dispatcher) throws IOException {
        Timers timers = closer.register(new Timers());
        CallerHandler callers =
                new CallerHandler(dispatcher, admission, metrics.callMetrics(), timers, settings.maximumBodyBytes());
        NodeStatusReader status = new NodeStatusReader(settings, replica, gate);
        AdminHandler admin = new AdminHandler(gate, status::read, metrics::read);
        listeners.add(closer.register(HttpListener.open("admin", settings.admin(), admin)));
        listeners.add(closer.register(HttpListener.open("callers", settings.callers(), callers)));
    }

    private long evictStatistics() {
        selector.evictUnused();
        return EVICTION_PERIOD_MS;
    }

    private void startTask(final String name, final BlockingTask task) {
        blockingLoops.add(closer.register(BlockingLoop.start(name, task)));
    }

    /**
     * Takes the node out of service: refuses new calls, waits for the calls in flight, then announces its departure to
     * the other nodes and releases the lead.
     *
     * @throws InterruptedException if the thread is interrupted.
     */
    public void drain() throws InterruptedException {
        LOGGER.infof("draining node=%s", settings.node());
        replica.membership().drain();
        CompletableFuture<Void> drained = CompletableFuture.allOf(gate.drain(), admission.drain());
        long deadlineMs = clock.nowMs() + settings.drainMs();
        boolean complete = await(drained) && awaitLinkCalls(deadlineMs);
        replica.membership().leave();
        Thread.sleep(DEPARTURE_PROPAGATION_MS);
        releaseLead();
        LOGGER.infof("drained node=%s complete=%s", settings.node(), complete);
    }

    /** Releases the lead, so that other nodes and commits need not wait until the lease expires. */
    private void releaseLead() throws InterruptedException {
        for (BlockingLoop blockingLoop : blockingLoops) {
            blockingLoop.close();
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

    private boolean awaitLinkCalls(final long deadlineMs) throws InterruptedException {
        while (linkServer.outstandingCalls() > 0) {
            if (clock.nowMs() >= deadlineMs) {
                return false;
            }
            Thread.sleep(DRAIN_POLL_MS);
        }
        return true;
    }

    /** Closes the node. Requests that arrive on connections accepted before are refused for a short time. */
    @Override
    public void close() throws ResourceCloseException {
        admission.drain();
        // Both stop before either is closed, so that their linger times run together. The callers' listener is the last
        // one, since its socket closes faster once the classes for that are loaded.
        listeners.forEach(HttpListener::stopAccepting);
        closer.close();
    }
}
