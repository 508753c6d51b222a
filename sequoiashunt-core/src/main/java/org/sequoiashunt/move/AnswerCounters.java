package org.sequoiashunt.move;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.fleet.VersionTally;
import org.sequoiashunt.slot.SlotGate;

/**
 * Counts what this node's targets answered, by service, version and route.
 *
 * <p>Thread-safe. Invariants: counts only grow; the number of keys is bounded, later ones are not counted.
 */
public final class AnswerCounters {

    private static final int MAXIMUM_KEYS = 4_096;

    private final Map<Key, VersionTally> tallies = new ConcurrentHashMap<>();

    /**
     * Counts a call that was sent to a target. Calls that the target refused or the caller broke off tell nothing.
     *
     * @param request the call, not null.
     * @param result how it ended, not null.
     * @param durationMs how long the target took, in milliseconds.
     */
    public void record(final CallRequest request, final CallResult result, final long durationMs) {
        if (result.reason() == Reason.SHED || result.reason() == Reason.CANCELLED) {
            return;
        }
        Key key = new Key(request.service(), request.targetVersion(), request.route());
        if (tallies.size() >= MAXIMUM_KEYS && !tallies.containsKey(key)) {
            return;
        }
        long failures = SlotGate.isFailure(result) ? 1 : 0;
        VersionTally one =
                new VersionTally(request.service(), request.targetVersion(), request.route(), 1, failures, durationMs);
        tallies.merge(key, one, AnswerCounters::sum);
    }

    private static VersionTally sum(final VersionTally first, final VersionTally second) {
        return new VersionTally(
                first.service(),
                first.version(),
                first.route(),
                first.answers() + second.answers(),
                first.failures() + second.failures(),
                first.totalMs() + second.totalMs());
    }

    /**
     * Lists the counts of some services.
     *
     * @param services tells which services, not null.
     * @return the counts, never null.
     */
    public List<VersionTally> tallies(final Predicate<String> services) {
        return tallies.values().stream()
                .filter(tally -> services.test(tally.service()))
                .toList();
    }

    /** What is counted apart. Immutable and thread-safe. */
    private record Key(String service, String version, String route) {}
}
