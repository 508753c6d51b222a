package org.sequoiashunt.execution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.gate.Admission;
import org.sequoiashunt.time.SteppedClock;

/**
 * Guards against quarantining harmless requests: one request crashes each target that runs it, while harmless requests
 * run on the same targets and are resent as well.
 */
final class CrashTrackerPropertyTest {

    private static final int NODES = 6;
    private static final int HARMLESS_REQUESTS = 12;
    private static final String CRASHING_URI = "/culprit";
    private static final CallResult CRASH = CallResult.unknown(Reason.CONNECTION_FAILED);
    private static final CallResult ANSWER = CallResult.complete(new CallResponse(200, List.of(), Body.EMPTY));

    @Property(tries = 300, seed = "4200", shrinking = ShrinkingMode.OFF)
    void refusesOnlyTheCrashingRequestOnEveryNode(@ForAll final long seed) {
        Cluster cluster = new Cluster(seed);
        for (int round = 0; round < 10; round++) {
            cluster.runRound();
        }
        cluster.replicateAll();
        assertTrue(cluster.crashes >= 2, "seed " + seed);
        for (CrashTracker tracker : cluster.trackers) {
            assertEquals(Admission.REFUSE, tracker.admit(request(CRASHING_URI)), "seed " + seed);
            for (int index = 0; index < HARMLESS_REQUESTS; index++) {
                assertNotEquals(Admission.REFUSE, tracker.admit(request("/" + index)), "seed " + seed);
            }
        }
    }

    private static CallRequest request(final String uri) {
        return new CallRequest(
                "call", "desk", "lookup", "v1", "target", "GET", uri, List.of(), Body.EMPTY, true, Optional.empty(), 1);
    }

    /** Nodes with one target each, whose blackboards replicate between random nodes after each round. */
    private static final class Cluster {

        private final Random random;
        private final SteppedClock clock = SteppedClock.of(1_000_000);
        private final List<Blackboard> blackboards = new ArrayList<>();
        private final List<CrashTracker> trackers = new ArrayList<>();
        private int crashes;

        private Cluster(final long seed) {
            random = new Random(seed);
            for (int index = 0; index < NODES; index++) {
                blackboards.add(new Blackboard());
                trackers.add(new CrashTracker("node" + index, blackboards.get(index), clock));
            }
        }

        private void runRound() {
            clock.advance(1_000);
            int crashingNode = random.nextInt(NODES);
            for (int node = 0; node < NODES; node++) {
                runOn(trackers.get(node), node == crashingNode);
            }
            replicateSome();
        }

        /**
         * Runs requests one by one if they must run alone, then the others together; one crash ends all of the latter.
         */
        private void runOn(final CrashTracker tracker, final boolean includesCrashing) {
            List<CallRequest> together = new ArrayList<>();
            List<String> uris = new ArrayList<>();
            random.ints(4, 0, HARMLESS_REQUESTS).distinct().forEach(index -> uris.add("/" + index));
            if (includesCrashing) {
                uris.add(CRASHING_URI);
            }
            for (String uri : uris) {
                Admission admission = tracker.admit(request(uri));
                if (admission == Admission.ALONE) {
                    end(tracker, List.of(request(uri)), true);
                } else if (admission == Admission.NORMAL) {
                    together.add(request(uri));
                }
            }
            end(tracker, together, false);
        }

        private void end(final CrashTracker tracker, final List<CallRequest> requests, final boolean alone) {
            boolean crash = requests.stream().anyMatch(request -> request.uri().equals(CRASHING_URI));
            crashes += crash ? 1 : 0;
            requests.forEach(request -> tracker.recordEnd(request, crash ? CRASH : ANSWER, alone));
        }

        private void replicateSome() {
            for (int node = 0; node < NODES; node++) {
                merge(random.nextInt(NODES), random.nextInt(NODES));
            }
        }

        private void replicateAll() {
            for (int from = 0; from < NODES; from++) {
                for (int to = 0; to < NODES; to++) {
                    merge(from, to);
                }
            }
            for (int to = 0; to < NODES; to++) {
                merge(NODES - 1, to);
            }
        }

        private void merge(final int from, final int to) {
            blackboards.get(from).entries(Section.QUARANTINE).forEach(blackboards.get(to)::merge);
        }
    }
}
