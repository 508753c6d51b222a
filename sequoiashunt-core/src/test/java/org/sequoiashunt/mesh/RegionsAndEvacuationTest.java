package org.sequoiashunt.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.GateCaller;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.dispatch.CallIdGenerator;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.limit.SlidingWindowRetryBudget;
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.placement.Placement;
import org.sequoiashunt.placement.PlacementCandidate;
import org.sequoiashunt.placement.PlacementCandidateSource;
import org.sequoiashunt.time.SteppedClock;

/** Tests an entry in the region south, whose own node has a target, with two failure domains in the region north. */
class RegionsAndEvacuationTest {

    private static final List<String> DOMAINS = List.of("north-1", "north-2", "south-1");

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final FleetView fleet = new FleetView(clock);
    private final Set<String> evacuated = new HashSet<>();
    private final List<String> sentTargets = new ArrayList<>();
    private final List<CompletableFuture<CallResult>> attempts = new ArrayList<>();
    private Set<String> routeRegions = Set.of();
    private Set<String> organisationRegions = Set.of();
    private final SlidingWindowRetryBudget retryBudget =
            new SlidingWindowRetryBudget(clock, new SlidingWindowRetryBudget.Bounds(1, 900, 10_000), () -> 1);
    private MeshDispatcher dispatcher;

    @BeforeEach
    void start() {
        clock.advance(2_000); // After it, the retry budget has its part of the allowance.
        for (String domain : DOMAINS) {
            for (int number = 1; number <= 3; number++) {
                accept(domain + "-" + number, domain);
            }
        }
        NodeLocation location = new NodeLocation("self", new NodeAddress("10.0.0.9", 7), "south-1", "south");
        dispatcher = new MeshDispatcher(new MeshDispatcher.Dependencies(
                clock,
                (delayMs, task) -> () -> {},
                Optional::empty,
                new WeightedServiceSelector(new Random(1)),
                new MeshVersionSelector(new MoveTable(clock), new Random(1)),
                new PlacementCandidateSource(
                        location, fleet, service -> List.of(target("self")), evacuated::contains, clock),
                new Placement(new Random(1)),
                retryBudget,
                new RecordingGateCaller(),
                new CallIdGenerator("self", 1),
                service -> 0,
                (service, call) -> 0,
                new NoOpObserver()));
    }

    private static TargetReport target(final String node) {
        return new TargetReport(node, "desk", "v1", 4, true, 0, 0, 50, 0, 0, List.of(), 0);
    }

    private void accept(final String node, final String domain) {
        fleet.accept(new NodeReport(
                node,
                1,
                1,
                new NodeAddress("10.0.0." + (10 + DOMAINS.indexOf(domain)), 7),
                domain,
                domain.substring(0, 5),
                600,
                false,
                3,
                OptionalLong.empty(),
                List.of(target(node)),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                false));
    }

    private CompletableFuture<CallResult> dispatch() {
        MeshRoute route = new MeshRoute(
                "lookup",
                "h",
                "/l/",
                List.of(new WeightedService("desk", 1)),
                RequestKind.of(true),
                1_000,
                400,
                2,
                3,
                true,
                routeRegions);
        Organisation organisation =
                new Organisation("museum", OptionalInt.empty(), Optional.empty(), organisationRegions);
        long nowMs = clock.nowMs();
        return dispatcher.dispatch(
                new MeshCall(
                        "id", "GET", "/l/1", List.of(), Body.EMPTY, Optional.of(organisation), 0, nowMs, nowMs + 5_000),
                route);
    }

    /** Guards against bodies that leave their region when links are cut and the request is sent again. */
    @Test
    void requestAndItsRetriesStayInTheRegionsThatRouteAndOrganisationAllow() {
        routeRegions = Set.of("north", "east");
        organisationRegions = Set.of("north", "south");
        for (int request = 0; request < 20; request++) {
            dispatch();
            while (attempts.stream().anyMatch(attempt -> !attempt.isDone())) {
                attempts.get(attempts.size() - 1).complete(CallResult.unknown(Reason.CONNECTION_FAILED));
            }
        }
        assertTrue(sentTargets.size() > 40, "retries were made");
        assertTrue(sentTargets.stream().allMatch(target -> target.startsWith("north")), sentTargets.toString());
    }

    @Test
    void requestWithoutACommonRegionIsRefusedAtOnce() {
        routeRegions = Set.of("north");
        organisationRegions = Set.of("south");
        CallResult refusal = dispatch().getNow(null);
        assertEquals(Outcome.NOT_RUN, refusal.outcome());
        assertEquals(Reason.NO_TARGET, refusal.reason());
        assertEquals(List.of(), sentTargets);
    }

    /** Guards against requests that are lost because several gates refuse them before the entry knows of the order. */
    @Test
    void refusalsOfEvacuatedGatesLeadToAnotherDomainEach() {
        CompletableFuture<CallResult> result = dispatch();
        for (int domain = 0; domain < DOMAINS.size(); domain++) {
            attempts.get(domain).complete(CallResult.notRun(Reason.EVACUATED));
        }
        assertEquals(DOMAINS.size(), sentTargets.size());
        assertFalse(sentTargets.get(0).startsWith("north"), "the nearest domain first");
        assertEquals(
                2,
                sentTargets.stream()
                        .filter(target -> target.startsWith("north"))
                        .count());
        assertEquals(Reason.NO_TARGET, result.getNow(null).reason());
        assertEquals(Outcome.NOT_RUN, result.getNow(null).outcome());
    }

    @Test
    void evacuatedDomainsGetNothingAndTheEntryServesThroughOthers() {
        evacuated.addAll(Set.of("south-1", "north-1"));
        for (int request = 0; request < 20; request++) {
            dispatch();
        }
        assertEquals(
                20,
                sentTargets.stream()
                        .filter(target -> target.startsWith("north-2"))
                        .count());
        evacuated.add("north-2");
        assertEquals(Reason.NO_TARGET, dispatch().getNow(null).reason());
    }

    /** Records the calls; the tests end them. */
    private final class RecordingGateCaller implements GateCaller {

        @Override
        public CompletableFuture<CallResult> call(final NodeAddress gateAddress, final CallRequest request) {
            sentTargets.add(request.target());
            attempts.add(new CompletableFuture<>());
            return attempts.get(attempts.size() - 1);
        }

        @Override
        public void withdrawCall(final NodeAddress gateAddress, final String callId) {}
    }

    /** Observer that does nothing. */
    private static final class NoOpObserver implements DispatchObserver {

        @Override
        public void attemptWithdrawn(final MeshCall call, final MeshRoute route, final PlacementCandidate candidate) {}

        @Override
        public void targetChosen(
                final MeshCall call, final MeshRoute route, final PlacementCandidate candidate, final int attempt) {}

        @Override
        public void attemptEnded(
                final MeshCall call, final MeshRoute route, final PlacementCandidate candidate, final CallResult end) {}
    }
}
