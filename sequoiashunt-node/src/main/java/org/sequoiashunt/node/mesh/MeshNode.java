package org.sequoiashunt.node.mesh;

import io.undertow.server.HttpHandler;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.dispatch.CallIdGenerator;
import org.sequoiashunt.dispatch.LocalFirstGateCaller;
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
import org.sequoiashunt.slot.SlotGate;
import org.sequoiashunt.slot.SlotGates;
import org.sequoiashunt.target.TargetRegistry;
import org.sequoiashunt.time.Clock;

/**
 * A node of a mesh: entry for the callers of its VM, gate of the target beside it, and peer of all other nodes.
 *
 * <p>Open it, {@link #drain()} it once, then close it. Thread-safe.
 */
public final class MeshNode implements AutoCloseable {

    /** Longest body on a link. */
    private static final int MAXIMUM_LINK_BODY_BYTES = 4 << 20;

    /** Quiet time after which a link is probed. A probe wakes both nodes. */
    private static final long PING_INTERVAL_MS = 700;

    /** Quiet time after which a link is replaced: two probes. */
    private static final long SILENCE_LIMIT_MS = 1_500;

    /** Time after the signal to end in which new requests are served: callers notice after two questions. */
    private static final long LINGER_MS = 2_400;

    /** Time before the forced end at which the node ends by itself. */
    private static final long END_MARGIN_MS = 400;

    private static final long POLL_MS = 20;

    private final Closer closer = new Closer();
    private final Clock clock = SystemClock.start();
    private final Random random = new Random();
    private final long incarnation = random.nextLong(Long.MAX_VALUE);
    private final ControlLoop loop = new ControlLoop();
    private final MoveTable board = new MoveTable();
    private final AnswerCounters tallies = new AnswerCounters();
    private final MeshMetrics metrics;
    private final FleetView fleet = new FleetView(clock);
    private final MeshSettings settings;
    private final MeshPorts ports;
    private final DecisionLog log;
    private final ActiveConfiguration configuration;
    private final WatcherSelection duty;
    private volatile boolean leaving;
    private volatile boolean closing;
    private volatile String service;
    private SlotGates gates;
    private FleetController fleetController;
    private MoveController moveController;
    private LinkClient links;
    private MeshCallerHandler entry;

    private MeshNode(final MeshSettings settings, final MeshPorts ports) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.ports = Objects.requireNonNull(ports, "ports");
        this.service = settings.service();
        this.metrics = ports.metrics();
        this.log = closer.register(DecisionLog.start(settings.place().node(), clock, System.out));
        this.configuration = new ActiveConfiguration(ports.platform(), log);
        this.duty = new WatcherSelection(settings.place(), fleet, configuration::version, clock);
    }

    /**
     * Starts a node.
     *
     * @param settings the settings, not null.
     * @param ports what belongs to the platform, not null.
     * @return the running node, never null.
     * @throws IOException if an address cannot be bound; nothing is left open.
     */
    public static MeshNode open(final MeshSettings settings, final MeshPorts ports) throws IOException {
        MeshNode node = new MeshNode(settings, ports);
        try {
            node.start();
            return node;
        } catch (IOException | RuntimeException exception) {
            try {
                node.close();
            } catch (ResourceCloseException closing) {
                exception.addSuppressed(closing);
            }
            throw exception;
        }
    }

    private void start() throws IOException {
        LinkContext context = linkContext();
        links = closer.register(LinkClient.open(context, random));
        TargetRegistry register = new TargetRegistry(clock, settings.announcementPeriodMs());
        NettyTargetCaller targets =
                closer.register(NettyTargetCaller.on(context.threads().callLoop(), ports.headers(), clock));
        GateReporter reporter = new GateReporter(ports.headers().requestId(), tallies, log, metrics);
        gates = new SlotGates(register, new SlotGate.Dependencies(clock, targets, reporter));
        fleetController = new FleetController(settings.place(), incarnation, fleetParts());
        moveController = new MoveController(
                settings.place().node(), fleet, board, tallies, clock, log, fleetController::reportSoon);
        entry = new MeshCallerHandler(entryParts());
        loop.add(fleetController);
        loop.add(moveController);
        openListeners(register);
        closer.register(LinkServer.open(
                context,
                new InetSocketAddress(
                        settings.place().address().host(),
                        settings.place().address().port()),
                gates,
                loop));
        closer.register(loop);
        loop.start();
        startStoreTasks();
        log.log(
                LogKind.START,
                "service",
                service,
                "failureDomain",
                settings.place().failureDomain(),
                "region",
                settings.place().region(),
                "incarnation",
                incarnation,
                "links",
                settings.place().address().toString());
    }

    private LinkContext linkContext() {
        LinkThreads threads = closer.register(LinkThreads.single());
        return new LinkContext(
                threads,
                new LinkIdentity(settings.place().node(), incarnation),
                LinkLimits.standard()
                        .withBodies(MAXIMUM_LINK_BODY_BYTES)
                        .withProbing(PING_INTERVAL_MS, SILENCE_LIMIT_MS),
                clock,
                MessageCodec.standard(),
                new LinkCounters());
    }

    private FleetController.Dependencies fleetParts() {
        return new FleetController.Dependencies(
                clock, random, fleet, gates, configuration, duty, board, tallies, links, () -> leaving, log);
    }

    private MeshCallerHandler.Dependencies entryParts() {
        PlacementCandidateSource candidates =
                new PlacementCandidateSource(settings.place(), fleet, gates::reports, clock);
        SlidingWindowRetryBudget retries = new SlidingWindowRetryBudget(
                clock, settings.retries(), () -> fleet.live().size() + 1);
        MeshDispatcher dispatcher = new MeshDispatcher(new MeshDispatcher.Dependencies(
                clock,
                closer.register(new Timers()),
                configuration::current,
                new WeightedServiceSelector(random),
                new MeshVersionSelector(board, random),
                candidates,
                new Placement(random),
                retries,
                new LocalFirstGateCaller(settings.place().address(), gates, links),
                new CallIdGenerator(settings.place().node(), incarnation),
                new PlacementReporter(log)));
        return new MeshCallerHandler.Dependencies(
                clock,
                ports.headers(),
                dispatcher,
                new RetryAfterPolicy(random),
                () -> configuration.current().map(MeshConfiguration::limits).orElse(CallerLimits.defaults()),
                () -> service,
                () -> leaving,
                () -> closing,
                metrics,
                log);
    }

    private void openListeners(final TargetRegistry register) throws IOException {
        Map<InetSocketAddress, HttpHandler> handlers = new HashMap<>();
        handlers.put(settings.callers(), entry);
        handlers.put(settings.readiness(), exchange -> {
            exchange.setStatusCode(isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
            exchange.endExchange();
        });
        handlers.put(
                settings.announcements(),
                new AnnouncementHandler(ports.announcements(), register, gates, fleetController::reportSoon, log));
        settings.metrics()
                .ifPresent(address -> handlers.put(
                        address, exchange -> exchange.getResponseSender().send(metrics.text())));
        closer.register(MeshListeners.open(handlers));
    }

    private void startStoreTasks() {
        StoreHealth health = new StoreHealth(clock, log);
        KnownNode self = new KnownNode(settings.place().node(), settings.place().address());
        startTask("operator", new OperatorWatch(duty, ports.platform(), clock, random, this::changed, health));
        startTask("entry", new NodeEntryTask(ports.platform(), self, fleet, random, health));
        startTask("moves", new MoveRecorder(ports.platform(), board, moveController, health));
    }

    private void startTask(final String name, final BlockingTask task) {
        closer.register(BlockingLoop.start("store-" + name, task));
    }

    private void changed(final DesiredState state) {
        state.moves().forEach(board::merge);
        state.moveRequests().forEach(moveController::order);
        if (state.configuration().isPresent()
                && configuration.offer(state.configuration().get(), "store")) {
            fleetController.shareConfiguration();
        }
        fleetController.reportSoon();
    }

    private boolean isReady() {
        return !leaving && configuration.current().isPresent();
    }

    /**
     * Takes changed settings. Only the service of the VM may change while the node runs.
     *
     * @param latest the settings, not null.
     */
    public void reload(final MeshSettings latest) {
        service = latest.service();
        log.log(LogKind.RELOAD, "outcome", "in force", "service", service);
    }

    /**
     * Notes that changed settings were refused.
     *
     * @param reason why, not null.
     */
    public void reloadFailed(final String reason) {
        log.log(LogKind.RELOAD, "outcome", "refused", "reason", reason);
    }

    /**
     * Lets the node leave: it is not ready any more, other nodes send it no more work, and what it has taken in ends.
     *
     * @throws InterruptedException if the thread is interrupted.
     */
    public void drain() throws InterruptedException {
        long startedMs = clock.nowMs();
        leaving = true;
        fleetController.reportSoon();
        log.log(LogKind.STOP, "phase", "draining", "held", entry.held(), "running", gates.running());
        long endMs = startedMs + Math.max(LINGER_MS, settings.shutdownMs() - END_MARGIN_MS);
        while (clock.nowMs() < endMs) {
            closing = clock.nowMs() - startedMs >= LINGER_MS;
            if (closing && entry.held() == 0 && gates.running() == 0) {
                break;
            }
            Thread.sleep(POLL_MS);
        }
        log.log(
                LogKind.STOP,
                "phase",
                "ended",
                "held",
                entry.held(),
                "running",
                gates.running(),
                "afterMs",
                clock.nowMs() - startedMs);
    }

    @Override
    public void close() throws ResourceCloseException {
        closer.close();
    }

    /**
     * What a node is given by the adapter of its platform. Immutable; thread-safe as its parts are.
     *
     * @param platform the platform's store.
     * @param headers the names of headers.
     * @param announcements decodes what targets send.
     * @param metrics counts what happens.
     */
    public record MeshPorts(
            MeshPlatform platform, MeshHeaders headers, AnnouncementDecoder announcements, MeshMetrics metrics) {}
}
