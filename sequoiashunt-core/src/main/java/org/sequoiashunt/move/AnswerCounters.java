package org.sequoiashunt.move;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.fleet.VersionTally;

/**
 * Counts the answers, failures and durations of this node's targets by service, version and route.
 *
 * <p>Thread-safe. Invariants: counts only grow; the number of keys is bounded, and answers under further keys are not
 * counted.
 */
public final class AnswerCounters {

    private static final int MAXIMUM_KEYS = 4_096;

    private final Map<AnswerKey, VersionTally> tallies = new ConcurrentHashMap<>();

    /**
     * Counts a call that was sent to a target. Calls that the target refused or the caller cancelled are not counted.
     *
     * @param request the call, not null.
     * @param result the result of the call, not null.
     * @param durationMs how long the target took, in milliseconds.
     */
    public void record(final CallRequest request, final CallResult result, final long durationMs) {
        if (result.reason() == Reason.SHED || result.reason() == Reason.CANCELLED) {
            return;
        }
        AnswerKey key = new AnswerKey(request.service(), request.targetVersion(), request.route());
        if (tallies.size() >= MAXIMUM_KEYS && !tallies.containsKey(key)) {
            return;
        }
        long failures = result.isFailure() ? 1 : 0;
        VersionTally increment =
                new VersionTally(request.service(), request.targetVersion(), request.route(), 1, failures, durationMs);
        tallies.merge(key, increment, AnswerCounters::sum);
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
     * Lists the counts of the selected services.
     *
     * @param serviceFilter selects services by name, not null.
     * @return the counts in no particular order, never null.
     */
    public List<VersionTally> tallies(final Predicate<String> serviceFilter) {
        return tallies.values().stream()
                .filter(tally -> serviceFilter.test(tally.service()))
                .toList();
    }

    /** Service, version and route whose answers are counted separately. Immutable and thread-safe. */
    private record AnswerKey(String service, String version, String route) {}
}
