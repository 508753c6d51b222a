package org.sequoiashunt.slot;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Order of the calls that wait at one gate while fair shares are in force: start-time fair queueing by expected slot
 * time over the flows of a rank.
 *
 * <p>A flow is an organisation, or a route for calls without an organisation. Ranks go first, and within a rank calls
 * without an organisation: most of them are made by running requests, which fail if they are refused. They overtake
 * others only for a bounded share of the slot time, so that they never crowd out callers' requests. A call that has
 * missed its latest useful start yields to one that has not.
 *
 * <p>Not thread-safe: the owner guards it by a lock. Invariant: the number of flows remembered is bounded; a flow that
 * is behind the virtual time of its rank is the same as an unknown one.
 */
final class FairShares {

    /**
     * Largest part of the slot time that calls without an organisation get ahead of waiting calls of less urgent ranks.
     * At 0.2 a burst of uploads makes the calls of running requests fail; at 0.8 a flood of such calls keeps long
     * requests of callers from being served.
     */
    static final double OVERTAKING_SHARE = 0.5;

    /** Slot time per slot that calls without an organisation may overtake at once after others had the slots. */
    private static final double OVERTAKING_CREDIT_MS = 250;

    private static final int MAXIMUM_FLOWS = 256;

    private final double overtakingShare;
    private final double creditMs;
    private final Map<Flow, Double> finishMs = new HashMap<>();
    private final Map<Long, Double> virtualMs = new HashMap<>();
    private double overtakingDebtMs;

    FairShares(final int slots, final double overtakingShare) {
        this.overtakingShare = overtakingShare;
        this.creditMs = slots * OVERTAKING_CREDIT_MS;
    }

    /**
     * Selects the call to start next and charges it to its flow.
     *
     * @param queue the waiting calls by rank and latest useful start, not empty.
     * @param nowMs the time, in milliseconds.
     * @return the call, never null.
     */
    WaitingCall takeNext(final Collection<WaitingCall> queue, final long nowMs) {
        List<WaitingCall> inTime =
                queue.stream().filter(waiting -> !isLate(waiting, nowMs)).toList();
        List<WaitingCall> candidates = inTime.isEmpty() ? List.copyOf(queue) : inTime;
        WaitingCall first = firstOfFlows(candidates);
        List<WaitingCall> overtaken = candidates.stream()
                .filter(waiting -> rankOf(waiting) > rankOf(first))
                .toList();
        boolean overtakes = !hasOrganisation(first) && !overtaken.isEmpty();
        boolean yields = overtakes && overtakingDebtMs > 0;
        WaitingCall next = yields ? firstOfOvertaken(overtaken) : first;
        double serviceMs = next.expectedServiceMs();
        overtakingDebtMs = overtakes && !yields
                ? overtakingDebtMs + serviceMs * (1 - overtakingShare)
                : Math.max(-creditMs, overtakingDebtMs - serviceMs * overtakingShare);
        charge(next);
        return next;
    }

    /** Prefers calls of organisations, so that routes of several urgent ranks have one bounded share together. */
    private WaitingCall firstOfOvertaken(final List<WaitingCall> overtaken) {
        List<WaitingCall> ofOrganisations =
                overtaken.stream().filter(FairShares::hasOrganisation).toList();
        return firstOfFlows(ofOrganisations.isEmpty() ? overtaken : ofOrganisations);
    }

    private WaitingCall firstOfFlows(final List<WaitingCall> ordered) {
        WaitingCall first = ordered.get(0);
        for (WaitingCall waiting : ordered) {
            int difference = Long.compare(rankOf(waiting), rankOf(first));
            if (difference < 0 || difference == 0 && startTagMs(Flow.of(waiting)) < startTagMs(Flow.of(first))) {
                first = waiting;
            }
        }
        return first;
    }

    private void charge(final WaitingCall started) {
        Flow flow = Flow.of(started);
        double startMs = startTagMs(flow);
        virtualMs.put(flow.rank(), startMs);
        finishMs.put(flow, startMs + started.expectedServiceMs());
        if (finishMs.size() > MAXIMUM_FLOWS || virtualMs.size() > MAXIMUM_FLOWS) {
            forget();
        }
    }

    /** Forgets the flows that are behind the virtual time, or all if too many are left. */
    private void forget() {
        finishMs.entrySet()
                .removeIf(entry -> entry.getValue()
                        <= virtualMs.getOrDefault(entry.getKey().rank(), 0.0));
        if (finishMs.size() > MAXIMUM_FLOWS || virtualMs.size() > MAXIMUM_FLOWS) {
            finishMs.clear();
            virtualMs.clear();
        }
    }

    private double startTagMs(final Flow flow) {
        return Math.max(virtualMs.getOrDefault(flow.rank(), 0.0), finishMs.getOrDefault(flow, 0.0));
    }

    /**
     * Estimates the slot time of the waiting calls that start before a new one.
     *
     * @param queue the waiting calls by rank and latest useful start, not null.
     * @param call the new call, not null.
     * @param nowMs the time, in milliseconds.
     * @return the slot time in milliseconds, zero or more.
     */
    double slotTimeAheadMs(final Collection<WaitingCall> queue, final WaitingCall call, final long nowMs) {
        Work work = new Work();
        double tagMs = startTagMs(Flow.of(call));
        for (WaitingCall waiting : queue) {
            if (Flow.of(waiting).equals(Flow.of(call)) && waiting.latestStartMs() <= call.latestStartMs()) {
                tagMs += isLate(waiting, nowMs) ? 0 : waiting.expectedServiceMs();
            }
        }
        Map<Flow, Double> tags = new HashMap<>();
        for (WaitingCall waiting : queue) {
            if (!isLate(waiting, nowMs)) {
                work.add(waiting, call, precedes(waiting, call, tagMs, tags));
            }
        }
        return work.aheadMs(hasOrganisation(call));
    }

    private boolean precedes(
            final WaitingCall waiting, final WaitingCall call, final double tagMs, final Map<Flow, Double> tags) {
        Flow flow = Flow.of(waiting);
        if (flow.equals(Flow.of(call))) {
            return waiting.latestStartMs() <= call.latestStartMs();
        }
        double waitingTagMs = tags.computeIfAbsent(flow, this::startTagMs);
        tags.put(flow, waitingTagMs + waiting.expectedServiceMs());
        return rankOf(waiting) < rankOf(call) || rankOf(waiting) == rankOf(call) && waitingTagMs <= tagMs;
    }

    private static boolean isLate(final WaitingCall waiting, final long nowMs) {
        return waiting.latestStartMs() < nowMs;
    }

    /** Rank of the call; within it, calls without an organisation rank above those of organisations. */
    private static long rankOf(final WaitingCall waiting) {
        return 2L * waiting.request().urgency().rank() + (hasOrganisation(waiting) ? 1 : 0);
    }

    private static boolean hasOrganisation(final WaitingCall waiting) {
        return !waiting.request().organisation().isEmpty();
    }

    /** Slot time that starts before a call, by what may overtake it. Not thread-safe. */
    private final class Work {

        private double overtakingMs;
        private double otherMs;
        private double overtakenMs;

        private void add(final WaitingCall waiting, final WaitingCall call, final boolean ahead) {
            double serviceMs = waiting.expectedServiceMs();
            if (rankOf(waiting) > rankOf(call)) {
                overtakenMs += serviceMs;
            } else if (ahead && rankOf(waiting) < rankOf(call) && !hasOrganisation(waiting)) {
                overtakingMs += serviceMs;
            } else if (ahead) {
                otherMs += serviceMs;
            }
        }

        /** The bounded share: calls that overtake wait for the others as soon as their credit is used. */
        private double aheadMs(final boolean organisation) {
            if (organisation) {
                double boundMs = Math.max(0, (otherMs * overtakingShare - overtakingDebtMs) / (1 - overtakingShare));
                return otherMs + Math.min(overtakingMs, boundMs);
            }
            double ownMs = otherMs + overtakingMs;
            double yieldMs = Math.max(0, (ownMs * (1 - overtakingShare) + overtakingDebtMs) / overtakingShare);
            return ownMs + Math.min(overtakenMs, yieldMs);
        }
    }

    /**
     * Calls that share slots as one. Immutable and thread-safe.
     *
     * @param rank the rank of the calls, which also tells organisations from routes.
     * @param name the organisation, or the route of calls without one.
     */
    record Flow(long rank, String name) {

        static Flow of(final WaitingCall waiting) {
            return new Flow(
                    rankOf(waiting),
                    hasOrganisation(waiting)
                            ? waiting.request().organisation()
                            : waiting.request().route());
        }
    }
}
