package org.sequoiashunt.trial.overload;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.call.TargetCaller;
import org.sequoiashunt.dispatch.CallIdGenerator;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.ReportBatch;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.limit.RetryAfterPolicy;
import org.sequoiashunt.limit.SlidingWindowRetryBudget;
import org.sequoiashunt.mesh.DispatchObserver;
import org.sequoiashunt.mesh.MeshCall;
import org.sequoiashunt.mesh.MeshDispatcher;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.mesh.MeshVersionSelector;
import org.sequoiashunt.mesh.MoveTable;
import org.sequoiashunt.mesh.WeightedServiceSelector;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.placement.Placement;
import org.sequoiashunt.placement.PlacementCandidate;
import org.sequoiashunt.placement.PlacementCandidateSource;
import org.sequoiashunt.slot.GateObserver;
import org.sequoiashunt.slot.SlotGate;
import org.sequoiashunt.slot.SlotGates;
import org.sequoiashunt.slot.StatedLoad;
import org.sequoiashunt.slot.WarmupRule;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.target.TargetRegistry;

/** The decisions of one node, as the node process wires them, with modelled links. Confined to one thread. */
final class SimulatedNode {

    static final SlidingWindowRetryBudget.Bounds RETRIES = new SlidingWindowRetryBudget.Bounds(0.2, 56, 10_000);
    /** Header with the identity of a request. */
    static final String ID = "Request-Id";

    private static final int CAPACITY = 600;
    private static final long ANNOUNCEMENT_MS = 3_600_000;

    private final EventQueue events;
    private final LoadScenario.Target target;
    private final NodeLocation place;
    private final FleetView fleet;
    private final SlotGates gates;
    private final MeshDispatcher dispatcher;
    private final RetryAfterPolicy advice;
    private long sequence;

    SimulatedNode(
            final EventQueue events,
            final int index,
            final LoadScenario scenario,
            final TargetCaller caller,
            final SimulatedLinks links,
            final LoadStatistics tally,
            final Random random) {
        this.target = scenario.targets().get(index);
        this.events = events;
        this.place =
                new NodeLocation("n-" + index, address(index), target.domain(), LoadScenario.regionOf(target.domain()));
        this.fleet = new FleetView(events.clock());
        this.advice = new RetryAfterPolicy(random);
        TargetRegistry register = new TargetRegistry(events.clock(), ANNOUNCEMENT_MS);
        register.announce(new TargetAnnouncement(
                "t-" + index, address(index), target.service(), "v1", target.slots(), false, 1, 1, 0));
        this.gates = new SlotGates(
                register,
                new SlotGate.Dependencies(
                        events.clock(),
                        caller,
                        new CountingGate(tally, () -> links.hasRoom(this)),
                        service -> WarmupRule.NONE,
                        () -> false,
                        scenario::placement,
                        route -> false));
        gates.update();
        this.dispatcher = new MeshDispatcher(new MeshDispatcher.Dependencies(
                events.clock(),
                events,
                Optional::empty,
                new WeightedServiceSelector(random),
                new MeshVersionSelector(new MoveTable(events.clock()), random),
                new PlacementCandidateSource(place, fleet, gates::reports, events.clock()),
                new Placement(random, scenario::placement),
                new SlidingWindowRetryBudget(
                        events.clock(), RETRIES, () -> fleet.liveReports().size() + 1),
                (gate, request) -> links.call(place, gate, request),
                new CallIdGenerator(place.node(), 1),
                called -> called.equals(target.service()) ? 0 : gates.repeatedShare(),
                (called, call) -> 0,
                new CountingPlacements(tally, scenario)));
    }

    static NodeAddress address(final int index) {
        return new NodeAddress("10.0.0." + (index + 1), 1);
    }

    NodeLocation place() {
        return place;
    }

    void accept(final NodeReport report) {
        fleet.accept(report);
    }

    void acceptRelayed(final ReportBatch.RelayedReport report) {
        fleet.acceptRelayed(report);
    }

    void recordStatedLoad(final StatedLoad load) {
        gates.recordStatedLoad(place.address(), load, 0); // No slots are held here.
    }

    BalanceStatistics.TargetState state() {
        TargetReport report = gates.reports().get(0);
        return new BalanceStatistics.TargetState(
                report.service(), place.region(), target.speed(), report.slots(), report.running(), report.waiting());
    }

    CompletableFuture<CallResult> handle(final CallRequest request) {
        return gates.handle(request);
    }

    void tick() {
        gates.tick();
    }

    NodeReport report() {
        sequence++;
        return new NodeReport(
                place.node(),
                1,
                sequence,
                place.address(),
                place.failureDomain(),
                place.region(),
                CAPACITY,
                false,
                1,
                OptionalLong.of(0),
                gates.reports(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                false);
    }

    CompletableFuture<CallResult> dispatch(final String id, final MeshRoute route, final long deadlineMs) {
        MeshCall call = new MeshCall(
                id, "GET", route.prefix(), List.of(new HeaderField(ID, id)), Body.EMPTY, events.nowMs(), deadlineMs);
        return dispatcher.dispatch(call, route);
    }

    long retryAfterMs(final CallResult refusal, final long leftMs) {
        return advice.delayMs(refusal.expectedWaitMs(), leftMs);
    }

    /** Counts the refusals of the gate while there is room elsewhere. Confined to the thread of the experiment. */
    private record CountingGate(LoadStatistics tally, BooleanSupplier roomElsewhere) implements GateObserver {

        @Override
        public void callAdmitted(
                final TargetAnnouncement announced, final CallRequest request, final int running, final int waiting) {
            tally.balance().admitted();
        }

        @Override
        public void callRefused(
                final TargetAnnouncement announced, final CallRequest request, final CallResult result) {
            if (result.reason() == Reason.QUEUE_FULL) {
                tally.balance().refused(roomElsewhere.getAsBoolean());
            }
        }

        @Override
        public void callEnded(
                final TargetAnnouncement announced,
                final CallRequest request,
                final CallResult result,
                final long durationMs) {}
    }

    /** Counts where requests go. Confined to the thread of the experiment. */
    private record CountingPlacements(LoadStatistics tally, LoadScenario scenario) implements DispatchObserver {

        @Override
        public void attemptWithdrawn(final MeshCall call, final MeshRoute route, final PlacementCandidate candidate) {}

        @Override
        public void targetChosen(
                final MeshCall call, final MeshRoute route, final PlacementCandidate candidate, final int attempt) {
            switch (candidate.distance()) {
                case NODE, DOMAIN -> tally.attempt(scenario.route(route.name()), true, true);
                case REGION -> tally.attempt(scenario.route(route.name()), false, true);
                default -> tally.attempt(scenario.route(route.name()), false, false);
            }
        }

        @Override
        public void attemptEnded(
                final MeshCall call,
                final MeshRoute route,
                final PlacementCandidate candidate,
                final CallResult result) {}
    }
}
