package org.sequoiashunt.move;

import java.util.Optional;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.VersionMove;

/**
 * Decides how a move of traffic to another version goes on.
 *
 * <p>Answers versions that are good, and versions that fail or turn slow at once, after a while, under load or on one
 * route. The new version gets a small share for the longer part of the time, so that late faults show while few
 * requests meet them, then growing shares, each for long enough to judge it. A fault is judged against the other
 * version in the same window, on all routes together and on each one.
 *
 * <p>Immutable and thread-safe.
 */
public final class MovePolicy {

    /**
     * Shares of the traffic by the part of the time that has passed, in thousandths. The last one leaves the other
     * version enough answers to compare with.
     */
    private static final Step[] STEPS = {
        new Step(0.00, 40), new Step(0.42, 150), new Step(0.52, 300), new Step(0.60, 550), new Step(0.68, 900),
    };

    /** Part of the time after which a version without a fault is accepted: almost all traffic for 0.17 of the time. */
    private static final double ACCEPT_AT = 0.85;

    /** Answers of the new version without which it is not accepted. */
    private static final long ACCEPT_ANSWERS = 30;

    /** Fewest answers on which a version is judged or its share grows. */
    private static final long JUDGED_ANSWERS = 10;

    /** Failures that come in bursts on single targets: a good version may fail this many times as often as another. */
    private static final double NOISE_FACTOR = 1.5;

    private static final double NOISE_SHARE = 0.02;

    /** Failures that the other version may have and that its few answers do not show, at a confidence of 95%. */
    private static final double UNSEEN_FAILURES = 3;

    /** Share of failures that a fault adds: about half of what the bad versions of the users fail. */
    private static final double FAULT_SHARE = 0.2;

    /** Logarithm of how many times likelier a fault must be than noise: a move is judged some hundred times. */
    private static final double FAULT_EVIDENCE = Math.log(1e4);

    /** How many times as long the answers must take: targets of one version differ by up to 2.5. */
    private static final double SLOWNESS = 3.2;

    /** Answers of the other version below which its times are no measure. */
    private static final long MEASURE_ANSWERS = 20;

    /**
     * Decides the next standing of a move.
     *
     * @param order the order, not null.
     * @param current where the move stands, not null.
     * @param elapsedMs the time since the order, in milliseconds.
     * @param evidence what the versions answered, not null.
     * @return the next standing with the reason, or empty if nothing changes.
     */
    public Optional<Decision> decide(
            final MoveRequest order, final VersionMove current, final long elapsedMs, final EvidenceWindow evidence) {
        if (current.state().isSealed()) {
            return Optional.empty();
        }
        Optional<String> fault = fault(order.version(), evidence);
        if (fault.isPresent()) {
            return Optional.of(decision(current, MoveState.ROLLED_BACK, 0, fault.get()));
        }
        double part = elapsedMs / (double) order.durationMs();
        long answers = evidence.sum(order.version(), false, null).answers();
        boolean whole = current.sharePermille() >= STEPS[STEPS.length - 1].sharePermille();
        if (part >= ACCEPT_AT && whole && answers >= ACCEPT_ANSWERS) {
            return Optional.of(decision(
                    current, MoveState.COMPLETED, current.sharePermille(), "no fault in " + answers + " answers"));
        }
        int share = shareAt(part, current.sharePermille(), answers);
        if (share == current.sharePermille()) {
            return Optional.empty();
        }
        return Optional.of(decision(current, MoveState.RUNNING, share, "no fault in " + answers + " answers"));
    }

    /**
     * Returns the time since the order that has passed at least if a share is given. A node that takes a move over
     * after its own restart does not know when the order was given.
     *
     * @param order the order, not null.
     * @param sharePermille the share of the new version, in thousandths.
     * @return the time in milliseconds.
     */
    public long leastElapsedMs(final MoveRequest order, final int sharePermille) {
        double part = 0;
        for (Step step : STEPS) {
            if (step.sharePermille() <= sharePermille) {
                part = step.part();
            }
        }
        return Math.round(part * order.durationMs());
    }

    /** A share grows by one step at a time, and only once the step before it has been answered. */
    private static int shareAt(final double part, final int currentShare, final long answers) {
        for (Step step : STEPS) {
            if (step.sharePermille() > currentShare) {
                boolean first = currentShare == 0;
                return part >= step.part() && (first || answers >= JUDGED_ANSWERS)
                        ? step.sharePermille()
                        : currentShare;
            }
        }
        return currentShare;
    }

    private static Decision decision(
            final VersionMove current, final MoveState state, final int sharePermille, final String reason) {
        return new Decision(
                new VersionMove(current.service(), current.version(), current.order(), state, sharePermille), reason);
    }

    private static Optional<String> fault(final String version, final EvidenceWindow evidence) {
        Optional<String> overall = fault(version, evidence, null);
        if (overall.isPresent()) {
            return overall;
        }
        return evidence.routes().stream()
                .map(route -> fault(version, evidence, route))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<String> fault(final String version, final EvidenceWindow evidence, final String route) {
        EvidenceWindow.Sum latest = evidence.sum(version, false, route);
        EvidenceWindow.Sum others = evidence.sum(version, true, route);
        if (latest.answers() < JUDGED_ANSWERS) {
            return Optional.empty();
        }
        String where = route == null ? "all routes" : "route " + route;
        double otherShare = evidence.matchedFailureShare(version, route) + UNSEEN_FAILURES / (others.answers() + 1);
        if (faultEvidence(latest, otherShare) >= FAULT_EVIDENCE) {
            return Optional.of(String.format(
                    "failures on %s: %.3f of %d against %.3f of %d",
                    where, latest.failureShare(), latest.answers(), otherShare, others.answers()));
        }
        if (others.answers() >= MEASURE_ANSWERS && latest.meanMs() > others.meanMs() * SLOWNESS) {
            return Optional.of(
                    String.format("slow on %s: %.0f ms against %.0f ms", where, latest.meanMs(), others.meanMs()));
        }
        return Optional.empty();
    }

    /** Compares, as a ratio of likelihoods, a fault with the failures that the other version has too. */
    private static double faultEvidence(final EvidenceWindow.Sum latest, final double otherShare) {
        double noise = Math.min(1 - 2 * FAULT_SHARE, otherShare * NOISE_FACTOR + NOISE_SHARE);
        double fault = noise + FAULT_SHARE;
        long successes = latest.answers() - latest.failures();
        return latest.failures() * Math.log(fault / noise) + successes * Math.log((1 - fault) / (1 - noise));
    }

    /**
     * A standing and why it was reached. Immutable and thread-safe.
     *
     * @param move the standing.
     * @param reason the reason, for logs.
     */
    public record Decision(VersionMove move, String reason) {}

    /** A share and the part of the time from which it is given. Immutable and thread-safe. */
    private record Step(double part, int sharePermille) {}
}
