package org.sequoiashunt.node.mesh;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.function.IntSupplier;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.call.CallHandler;
import org.sequoiashunt.call.TargetCaller;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.crash.CrashTable;
import org.sequoiashunt.dispatch.CallIdGenerator;
import org.sequoiashunt.dispatch.LocalFirstGateCaller;
import org.sequoiashunt.fleet.EvacuationTable;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.http.Timers;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.lifecycle.ResourceCloseException;
import org.sequoiashunt.limit.RetryAfterPolicy;
import org.sequoiashunt.limit.SlidingWindowRetryBudget;
import org.sequoiashunt.link.LinkClient;
import org.sequoiashunt.link.LinkContext;
import org.sequoiashunt.link.LinkCounters;
import org.sequoiashunt.link.LinkIdentity;
import org.sequoiashunt.link.LinkLimits;
import org.sequoiashunt.link.LinkServer;
import org.sequoiashunt.link.LinkThreads;
import org.sequoiashunt.link.MessageCodec;
import org.sequoiashunt.mesh.CallerLimits;
import org.sequoiashunt.mesh.DesiredState;
import org.sequoiashunt.mesh.MeshConfiguration;
import org.sequoiashunt.mesh.MeshDispatcher;
import org.sequoiashunt.mesh.MeshPlatform;
import org.sequoiashunt.mesh.MeshVersionSelector;
import org.sequoiashunt.mesh.MoveTable;
import org.sequoiashunt.mesh.WatcherSelection;
import org.sequoiashunt.mesh.WeightedServiceSelector;
import org.sequoiashunt.move.AnswerCounters;
import org.sequoiashunt.node.BlockingLoop;
import org.sequoiashunt.node.ControlLoop;
import org.sequoiashunt.placement.Placement;
import org.sequoiashunt.placement.PlacementCandidateSource;
import org.sequoiashunt.placement.PlacementPolicy;
import org.sequoiashunt.slot.SlotGate;
import org.sequoiashunt.slot.SlotGates;
import org.sequoiashunt.target.TargetRegistry;
import org.sequoiashunt.time.Clock;

/**
 * A node of a mesh: it receives the requests of its VM's callers, admits requests to the VM's targets and exchanges
 * requests and state with all other nodes.
 *
 * <p>Open it, call {@link #drain()} once, then close it. Thread-safe.
 */
public final class MeshNode implements AutoCloseable {

    /** Limits on the requests of callers, a fraction of a node's memory and descriptors. */
    private static final InputLimits CALLER_INPUT_LIMITS = new InputLimits(2_048, 16 << 20, 24 << 20);

    /** Limits on each address to which only few short requests are sent. */
    private static final InputLimits SMALL_INPUT_LIMITS = new InputLimits(128, 1 << 20, 1 << 20);

    /** Idle time after which a link is pinged. Each ping wakes the nodes at both ends. */
    private static final long PING_INTERVAL_MS = 700;

    /** Idle time after which a link is replaced: two pings remained unanswered. */
    private static final long SILENCE_LIMIT_MS = 1_500;

    private static final long DRAIN_POLL_MS = 20;

    private final Closer closer = new Closer();
    private final Clock clock = SystemClock.start();
    private final Random random = new Random();
    private final long incarnation = random.nextLong(Long.MAX_VALUE);
    private final ControlLoop controlLoop = new ControlLoop();
    private final MoveTable moveTable = new MoveTable(clock);
    private final AnswerCounters answerCounters = new AnswerCounters();
    private final CrashTable crashTable = new CrashTable(clock);
    private final EvacuationTable evacuationTable = new EvacuationTable(clock);
    private final Timers timers = closer.register(new Timers());
    private final MeshMetrics metrics;
    private final FleetView fleet = new FleetView(clock);
    private final MeshSettings settings;
    private final PlannedStop stop;
    private final PlatformComponents platformComponents;
    private final DecisionLog log;
    private final StoreHealth storeHealth;
    private final ActiveConfiguration configuration;
    private final WatcherSelection watcherSelection;
    private volatile String service;
    private SlotGates gates;
    private EvacuationControl evacuations;
    private FleetController fleetController;
    private MoveController moveController;
    private MeshQuota quota;
    private DepartureRecorder departureRecorder;
    private CrashGuard crashGuard;
    private CallHandler guardedGates;
    private LinkClient linkClient;
    private MeshCallerHandler callerHandler;
    private MeshDispatcher dispatcher;
    private LinkServer linkServer;

    private MeshNode(final MeshSettings settings, final PlatformComponents platformComponents) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.platformComponents = Objects.requireNonNull(platformComponents, "platformComponents");
        this.stop = new PlannedStop(clock, settings.shutdownMs());
        this.service = settings.service();
        this.metrics = platformComponents.metrics();
        this.log = closer.register(DecisionLog.start(settings.location().node(), clock, System.out));
        this.storeHealth = new StoreHealth(clock, log);
        this.configuration = new ActiveConfiguration(platformComponents.platform(), log);
        this.watcherSelection =
                new WatcherSelection(settings.location(), settings.capacity(), fleet, configuration::version, clock);
    }

    /**
     * Starts a node.
     *
     * @param settings the addresses, times and limits of the node, not null.
     * @param platformComponents the components that depend on the platform, not null.
     * @return the running node, never null.
     * @throws IOException if an address cannot be bound; nothing is left open.
     */
    public static MeshNode open(final MeshSettings settings, final PlatformComponents platformComponents)
            throws IOException {
        MeshNode node = new MeshNode(settings, platformComponents);
        try {
            node.start();
            return node;
        } catch (IOException | RuntimeException exception) {
            try {
                node.close();
            } catch (ResourceCloseException closeException) {
                exception.addSuppressed(closeException);
            }
            throw exception;
        }
    }

    private void start() throws IOException {
        LinkContext context = createLinkContext();
        linkClient = closer.register(LinkClient.open(context, random));
        TargetRegistry registry = new TargetRegistry(clock, settings.announcementPeriodMs());
        NettyTargetCaller targets = closer.register(NettyTargetCaller.create(
                context.threads().callLoop(),
                platformComponents.headerNames(),
                clock,
                new TargetConnectionReporter(log, metrics),
                (address, load, sentMs) -> gates.recordStatedLoad(address, load, sentMs)));
        createGates(registry, targets);
        createControllers(registry);
        callerHandler = new MeshCallerHandler(callerHandlerDependencies());
        openListeners(registry);
        linkServer = closer.register(LinkServer.open(
                context,
                new InetSocketAddress(
                        settings.location().address().host(),
                        settings.location().address().port()),
                guardedGates,
                controlLoop));
        closer.register(controlLoop);
        controlLoop.start();
        startStoreTasks();
        log.log(
                LogKind.START,
                "service",
                service,
                "failureDomain",
                settings.location().failureDomain(),
                "region",
                settings.location().region(),
                "incarnation",
                incarnation,
                "placement",
                settings.placement().map(PlacementPolicy::settingName).orElse("by configuration"),
                "links",
                settings.location().address().toString());
    }

    private void createGates(final TargetRegistry registry, final TargetCaller targets) {
        crashGuard = new CrashGuard(new CrashGuard.Dependencies(
                crashTable,
                platformComponents.headerNames().callerService(),
                clock,
                () -> fleetController.requestReport(),
                log,
                metrics));
        GateReporter reporter = new GateReporter(
                platformComponents.headerNames().requestId(), answerCounters, crashGuard, log, metrics);
        gates = new SlotGates(
                registry,
                new SlotGate.Dependencies(
                        clock,
                        targets,
                        reporter,
                        configuration::warmupRuleOf,
                        configuration::usesFairShares,
                        () -> configuration.placement(settings.placement()),
                        configuration::givesUpSilentCalls));
        evacuations = new EvacuationControl(settings.location(), evacuationTable, gates, configuration, log, metrics);
        guardedGates = crashGuard.guard(gates);
    }

    private void createControllers(final TargetRegistry registry) {
        departureRecorder = new DepartureRecorder(new DepartureRecorder.Dependencies(
                settings.location(),
                fleet,
                linkClient,
                platformComponents.platform(),
                registry,
                gates,
                clock,
                timers,
                storeHealth,
                () -> fleetController.requestReport()));
        fleetController =
                new FleetController(settings.location(), settings.capacity(), incarnation, fleetDependencies());
        moveController = new MoveController(
                settings.location().node(),
                fleet,
                moveTable,
                answerCounters,
                clock,
                log,
                fleetController::requestReport);
        controlLoop.add(fleetController);
        controlLoop.add(departureRecorder);
        controlLoop.add(moveController);
        quota = new MeshQuota(settings, incarnation, quotaDependencies());
        controlLoop.add(quota.controller());
    }

    private MeshQuota.Dependencies quotaDependencies() {
        return new MeshQuota.Dependencies(clock, fleet, configuration, stop::isDraining, linkClient, log, metrics);
    }

    private LinkContext createLinkContext() {
        LinkThreads threads = closer.register(LinkThreads.startSingle());
        return new LinkContext(
                threads,
                new LinkIdentity(settings.location().node(), incarnation),
                LinkLimits.standard()
                        .withMaximumBodyBytes(CallerLimits.MAXIMUM_FORWARDED_BODY_BYTES)
                        .withPingTimes(PING_INTERVAL_MS, SILENCE_LIMIT_MS),
                clock,
                MessageCodec.standard(),
                new LinkCounters());
    }

    private FleetController.Dependencies fleetDependencies() {
        return new FleetController.Dependencies(
                clock,
                random,
                fleet,
                gates,
                configuration,
                watcherSelection,
                moveTable,
                crashTable,
                evacuations,
                answerCounters,
                linkClient,
                stop::isDraining,
                departureRecorder::peerFound,
                log);
    }

    private MeshCallerHandler.Dependencies callerHandlerDependencies() {
        PlacementCandidateSource candidates = new PlacementCandidateSource(
                settings.location(), fleet, gates::reports, evacuationTable::isEvacuated, clock);
        SlidingWindowRetryBudget retries = new SlidingWindowRetryBudget(
                clock, settings.retryBudget(), () -> fleet.liveReports().size() + 1);
        MeshDispatcher.Dependencies dispatcherDependencies = new MeshDispatcher.Dependencies(
                clock,
                timers,
                configuration::current,
                new WeightedServiceSelector(random),
                new MeshVersionSelector(moveTable, random),
                candidates,
                new Placement(random, () -> configuration.placement(settings.placement())),
                retries,
                new LocalFirstGateCaller(settings.location().address(), guardedGates, linkClient),
                new CallIdGenerator(settings.location().node(), incarnation),
                // The targets of this VM call other services; requests for their own come from this VM's callers.
                called -> called.equals(service) ? 0 : gates.repeatedShare(),
                crashGuard::quarantineLeftMs,
                new PlacementReporter(log, metrics, candidates::hasRoomElsewhere));
        dispatcher = new MeshDispatcher(dispatcherDependencies, settings.linkMbps());
        return new MeshCallerHandler.Dependencies(
                clock,
                platformComponents.headerNames(),
                dispatcher,
                new RetryAfterPolicy(random),
                quota,
                this::callerLimits,
                () -> service,
                stop::isDraining,
                stop::refusesRequests,
                metrics,
                log);
    }

    private void openListeners(final TargetRegistry registry) throws IOException {
        Map<InetSocketAddress, InboundConnections.Dependencies> addresses = new LinkedHashMap<>();
        addresses.put(settings.readinessAddress(), smallListener("readiness", this::handleReadinessCheck));
        addresses.put(
                settings.announcementAddress(),
                smallListener(
                        "announcements",
                        new AnnouncementHandler(
                                platformComponents.announcementDecoder(),
                                registry,
                                gates,
                                departureRecorder,
                                crashGuard,
                                fleetController::requestReport,
                                log)));
        settings.metricsAddress()
                .ifPresent(address -> addresses.put(
                        address,
                        smallListener(
                                "metrics",
                                exchange -> exchange.getResponseSender().send(metrics.text()))));
        // The last address closes fastest at a stop, once the classes for that are loaded.
        addresses.put(
                settings.callerAddress(),
                listener(
                        "callers",
                        callerHandler,
                        CALLER_INPUT_LIMITS,
                        () -> callerLimits().maximumHeaderBytes()));
        closer.register(MeshListeners.open(addresses, stop::lingerMs));
    }

    private void handleReadinessCheck(final HttpServerExchange exchange) {
        if (exchange.isRequestComplete()) {
            exchange.setStatusCode(isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
            exchange.endExchange();
        } else {
            exchange.setPersistent(false);
            exchange.setStatusCode(StatusCodes.REQUEST_ENTITY_TOO_LARGE);
            exchange.getResponseSender().send(InputRefusal.BODY_TOO_LARGE.text());
        }
    }

    private InboundConnections.Dependencies smallListener(final String name, final HttpHandler handler) {
        return listener(name, handler, SMALL_INPUT_LIMITS, CallerLimits.defaults()::maximumHeaderBytes);
    }

    private InboundConnections.Dependencies listener(
            final String name, final HttpHandler handler, final InputLimits limits, final IntSupplier headerBytes) {
        return new InboundConnections.Dependencies(name, handler, limits, headerBytes, clock, metrics, log);
    }

    private CallerLimits callerLimits() {
        return configuration.current().map(MeshConfiguration::limits).orElse(CallerLimits.defaults());
    }

    private void startStoreTasks() {
        KnownNode self = settings.location().asKnownNode();
        startTask(
                "operator",
                new OperatorWatch(
                        watcherSelection,
                        platformComponents.platform(),
                        clock,
                        random,
                        this::applyDesiredState,
                        storeHealth));
        startTask("entry", new NodeEntryTask(platformComponents.platform(), self, fleet, random, storeHealth));
        startTask("departures", departureRecorder);
        startTask(
                "moves",
                new MoveRecorder(platformComponents.platform(), moveTable, moveController::rank, storeHealth, clock));
    }

    private void startTask(final String name, final BlockingTask task) {
        closer.register(BlockingLoop.start("store-" + name, task));
    }

    private void applyDesiredState(final DesiredState state) {
        evacuations.apply(state);
        state.moves().forEach(moveTable::merge);
        state.moveRequests().forEach(moveController::acceptOrder);
        if (state.configuration().isPresent()
                && configuration.activateIfNewer(state.configuration().get(), "store")) {
            fleetController.shareConfiguration();
        }
        fleetController.requestReport();
    }

    private boolean isReady() {
        return !stop.isDraining() && configuration.current().isPresent();
    }

    /**
     * Applies the service of changed settings; all other settings keep their values until the node restarts.
     *
     * @param latest the changed settings, not null.
     */
    public void reload(final MeshSettings latest) {
        service = latest.service();
        log.log(LogKind.RELOAD, "outcome", "in force", "service", service);
    }

    /**
     * Logs that changed settings were refused.
     *
     * @param reason the reason of the refusal, not null.
     */
    public void reloadFailed(final String reason) {
        log.log(LogKind.RELOAD, "outcome", "refused", "reason", reason);
    }

    /**
     * Drains the node before a shutdown: it reports that it is not ready, other nodes stop sending requests to it, and
     * accepted requests finish. Returns when none are left or shortly before the forced stop.
     *
     * @throws InterruptedException if the thread is interrupted while it waits.
     */
    public void drain() throws InterruptedException {
        stop.begin();
        fleetController.requestReport();
        log.log(LogKind.STOP, "phase", "draining", "held", callerHandler.activeRequests(), "running", gates.running());
        gates.drain(stop.requestsEndMs());
        while (clock.nowMs() < stop.requestsEndMs()) {
            dispatcher.drain(stop.requestsEndMs());
            if (stop.refusesRequests() && isIdle()) {
                break;
            }
            Thread.sleep(DRAIN_POLL_MS);
        }
        stop.refuseRequests();
        dispatcher.stop();
        awaitLastAnswers();
        log.log(
                LogKind.STOP,
                "phase",
                "ended",
                "held",
                callerHandler.activeRequests(),
                "running",
                gates.running(),
                "afterMs",
                stop.elapsedMs());
    }

    private boolean isIdle() {
        return callerHandler.activeRequests() == 0 && gates.running() == 0;
    }

    /** Waits until the answers to callers are written and other nodes have acknowledged the results of their calls. */
    private void awaitLastAnswers() throws InterruptedException {
        long endMs = clock.nowMs() + PlannedStop.LAST_ANSWERS_MS;
        while (clock.nowMs() < endMs && (callerHandler.activeRequests() > 0 || linkServer.outstandingCalls() > 0)) {
            Thread.sleep(DRAIN_POLL_MS);
        }
    }

    @Override
    public void close() throws ResourceCloseException {
        closer.close();
    }

    /**
     * Components that depend on the platform. Immutable; as thread-safe as its components.
     *
     * @param platform the access to the platform's store.
     * @param headerNames the names of the headers that callers, nodes and targets exchange.
     * @param announcementDecoder the decoder of the announcements of targets.
     * @param metrics the counters and histograms of the node.
     */
    public record PlatformComponents(
            MeshPlatform platform,
            MeshHeaders headerNames,
            AnnouncementDecoder announcementDecoder,
            MeshMetrics metrics) {}
}
