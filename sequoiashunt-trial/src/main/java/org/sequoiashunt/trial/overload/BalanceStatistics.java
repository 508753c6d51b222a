package org.sequoiashunt.trial.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How evenly the targets of an experiment were loaded. Room counts as elsewhere if it is in the same region.
 *
 * <p>Confined to one thread.
 */
final class BalanceStatistics {

    private double sumOfDeviations;
    private long deviations;
    private double needlessWaitMs;
    private double waitMs;
    private long needlessRefusals;
    private long refusals;
    private long calls;

    /** Records the state of all targets, which holds for a time. */
    void sample(final List<TargetState> states, final long lengthMs) {
        Map<String, List<Double>> sharesByKind = new HashMap<>();
        Map<String, int[]> waitingAndFree = new HashMap<>();
        for (TargetState state : states) {
            sharesByKind
                    .computeIfAbsent(state.service() + state.speed(), unused -> new ArrayList<>())
                    .add(state.running() / (double) state.slots());
            int[] counts = waitingAndFree.computeIfAbsent(state.service() + state.region(), unused -> new int[2]);
            counts[0] += state.waiting();
            counts[1] += state.slots() - state.running();
            waitMs += state.waiting() * lengthMs;
        }
        waitingAndFree.values().forEach(counts -> needlessWaitMs += Math.min(counts[0], counts[1]) * lengthMs);
        for (List<Double> shares : sharesByKind.values()) {
            double mean = shares.stream().mapToDouble(share -> share).average().orElse(0);
            double squares = shares.stream()
                    .mapToDouble(share -> (share - mean) * (share - mean))
                    .sum();
            sumOfDeviations += Math.sqrt(squares / shares.size());
            deviations++;
        }
    }

    void admitted() {
        calls++;
    }

    /** Records that a gate has refused a call for lack of a slot. */
    void refused(final boolean roomElsewhere) {
        calls++;
        refusals++;
        needlessRefusals += roomElsewhere ? 1 : 0;
    }

    /** Returns the mean standard deviation of the share of slots in use, over targets of one service and speed. */
    double spread() {
        return sumOfDeviations / deviations;
    }

    /** Returns the time that a call waits on average while a slot is free elsewhere, in milliseconds. */
    double needlessWaitMs() {
        return needlessWaitMs / calls;
    }

    /** Returns the time that a call waits on average, in milliseconds. */
    double waitMs() {
        return waitMs / calls;
    }

    /** Returns the share of calls that gates refuse while a slot is free elsewhere. */
    double needlessRefusals() {
        return needlessRefusals / (double) calls;
    }

    /** Returns the share of calls that gates refuse for lack of a slot. */
    double refusals() {
        return refusals / (double) calls;
    }

    /**
     * State of one target. Immutable and thread-safe.
     *
     * @param service its service.
     * @param region its region.
     * @param speed its speed.
     * @param slots the number of its slots.
     * @param running the slots in use.
     * @param waiting the calls that wait at its gate.
     */
    record TargetState(String service, String region, double speed, int slots, int running, int waiting) {}
}
