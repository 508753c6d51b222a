package org.sequoiashunt.move;

import java.util.Optional;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.VersionMove;

/**
 * Decides whether a move of traffic to another version continues with a larger share, completes or is rolled back.
 *
 * <p>It detects versions that fail or become slow at once, after a while, under load or on a single route. The new
 * version gets a small share of the traffic for about 40% of the duration, so that late faults affect few requests. The
 * share then grows in steps that are each long enough to detect a fault. The new version is compared with the other
 * versions over the same window, on all routes together and on each route. Small fault shares show only in the answers
 * of the whole move: the share grows only while they are unlikely, and a version that is in doubt near the
 * end of the duration is rolled back.
 *
 * <p>Immutable and thread-safe.
 */
public final class MovePolicy {

    /**
     * Share of the traffic for the new version, in thousandths, by the elapsed fraction of the move. The last share
     * leaves the other versions enough answers to compare with.
     */
    private static final ShareStep[] SHARE_SCHEDULE = {
        new ShareStep(0.00, 40, Double.MAX_VALUE),
        new ShareStep(0.42, 150, 0),
        new ShareStep(0.52, 300, -1),
        new ShareStep(0.60, 550, -2),
        new ShareStep(0.68, 900, -3),
    };

    /**
     * Fraction of the move's duration after which a version without a fault is accepted. It has then had the largest
     * share for 0.17 of the duration.
     */
    private static final double ACCEPTANCE_ELAPSED_FRACTION = 0.85;

    /** Fewest answers in the window with which the new version is accepted. */
    private static final long MINIMUM_ANSWERS_TO_ACCEPT = 30;

    /** Fewest answers in the window with which the new version is checked for faults or its share grows. */
    private static final long MINIMUM_ANSWERS_TO_JUDGE = 10;

    /**
     * How many times as often as the other versions a good version may fail: failures come in bursts on single targets.
     */
    private static final double NOISE_FAILURE_FACTOR = 1.5;

    /** Share of failures that a good version may have in addition to the scaled share of the other versions. */
    private static final double NOISE_FAILURE_SHARE = 0.02;

    /**
     * Failures that the other versions may have without showing them in few answers. With no failure in n answers, the
     * failure share is below 3 / n at a confidence of 95%.
     */
    private static final double UNOBSERVED_FAILURES = 3;

    /** Share of failures that a fault adds: about half the failure share of the users' bad versions. */
    private static final double FAULT_FAILURE_SHARE = 0.2;

    /**
     * Logarithm of the likelihood ratio of fault to noise from which a version counts as faulty. The threshold is high
     * because the check runs some hundred times in one move.
     */
    private static final double FAULT_LOG_LIKELIHOOD_THRESHOLD = Math.log(1e4);

    /** Share of failures that a small fault adds. */
    private static final double SMALL_FAULT_FAILURE_SHARE = 0.05;

    /** Logarithm of the likelihood ratio of small fault to noise from which the version is in doubt. */
    private static final double DOUBT_LOG_LIKELIHOOD = 1;

    /** Fraction of the move's duration after which a version in doubt is rolled back. */
    private static final double DOUBT_END_ELAPSED_FRACTION = 0.95;

    /** Ratio of mean durations above which the new version is slow: targets of one version differ by up to 2.5. */
    private static final double SLOW_DURATION_RATIO = 3.2;

    /** Fewest answers of the other versions with which their mean duration is compared. */
    private static final long MINIMUM_ANSWERS_FOR_DURATION_BASELINE = 20;

    /**
     * Decides the next state and share of a move.
     *
     * @param current the move with its duration and elapsed time, not null.
     * @param evidence the recent answers of all versions of the service, not null.
     * @return the next state and share with the reason, or empty if nothing changes.
     */
    public Optional<Decision> decide(final VersionMove current, final EvidenceWindow evidence) {
        if (current.state().isTerminal()) {
            return Optional.empty();
        }
        Optional<String> fault = findFault(current.version(), evidence);
        if (fault.isPresent()) {
            return Optional.of(decision(current, MoveState.ROLLED_BACK, 0, fault.get()));
        }
        double elapsedFraction = current.elapsedMs() / (double) current.durationMs();
        double smallFaultLogLikelihood = smallFaultLogLikelihoodRatio(evidence.total(current.version()));
        if (smallFaultLogLikelihood >= FAULT_LOG_LIKELIHOOD_THRESHOLD) {
            return Optional.of(decision(current, MoveState.ROLLED_BACK, 0, describe(evidence, current, "small fault")));
        }
        if (smallFaultLogLikelihood >= DOUBT_LOG_LIKELIHOOD) {
            return elapsedFraction < DOUBT_END_ELAPSED_FRACTION
                    ? Optional.empty()
                    : Optional.of(
                            decision(current, MoveState.ROLLED_BACK, 0, describe(evidence, current, "still in doubt")));
        }
        long answers = evidence.sum(current.version(), false, null).answers();
        boolean atMaximumShare = current.sharePermille() >= SHARE_SCHEDULE[SHARE_SCHEDULE.length - 1].sharePermille();
        if (elapsedFraction >= ACCEPTANCE_ELAPSED_FRACTION && atMaximumShare && answers >= MINIMUM_ANSWERS_TO_ACCEPT) {
            return Optional.of(decision(
                    current, MoveState.COMPLETED, current.sharePermille(), "no fault in " + answers + " answers"));
        }
        int share = nextShare(elapsedFraction, current.sharePermille(), answers, smallFaultLogLikelihood);
        if (share == current.sharePermille()) {
            return Optional.empty();
        }
        return Optional.of(decision(current, MoveState.RUNNING, share, "no fault in " + answers + " answers"));
    }

    /**
     * Returns the minimum time since the request after which the new version can have its share. A node that has
     * restarted uses it to continue a move, since it does not know when the request was made.
     *
     * @param move the move, not null.
     * @return the time in milliseconds, zero if the share is below the first step.
     */
    public long minimumElapsedMs(final VersionMove move) {
        double elapsedFraction = 0;
        for (ShareStep step : SHARE_SCHEDULE) {
            if (step.sharePermille() <= move.sharePermille()) {
                elapsedFraction = step.elapsedFraction();
            }
        }
        return Math.round(elapsedFraction * move.durationMs());
    }

    /** The share grows by one step at a time, after the first step only with enough answers to check the version. */
    private static int nextShare(
            final double elapsedFraction,
            final int currentShare,
            final long answers,
            final double smallFaultLogLikelihood) {
        for (ShareStep step : SHARE_SCHEDULE) {
            if (step.sharePermille() > currentShare) {
                boolean firstStep = currentShare == 0;
                return elapsedFraction >= step.elapsedFraction()
                                && smallFaultLogLikelihood <= step.maximumFaultLogLikelihood()
                                && (firstStep || answers >= MINIMUM_ANSWERS_TO_JUDGE)
                        ? step.sharePermille()
                        : currentShare;
            }
        }
        return currentShare;
    }

    private static Decision decision(
            final VersionMove current, final MoveState state, final int sharePermille, final String reason) {
        return new Decision(current.next(state, sharePermille), reason);
    }

    private static Optional<String> findFault(final String version, final EvidenceWindow evidence) {
        Optional<String> overall = findFault(version, evidence, null);
        if (overall.isPresent()) {
            return overall;
        }
        return evidence.routes().stream()
                .map(route -> findFault(version, evidence, route))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<String> findFault(final String version, final EvidenceWindow evidence, final String route) {
        EvidenceWindow.Sum newVersionSum = evidence.sum(version, false, route);
        EvidenceWindow.Sum otherVersionsSum = evidence.sum(version, true, route);
        if (newVersionSum.answers() < MINIMUM_ANSWERS_TO_JUDGE) {
            return Optional.empty();
        }
        String scope = route == null ? "all routes" : "route " + route;
        double baselineFailureShare =
                evidence.matchedFailureShare(version, route) + UNOBSERVED_FAILURES / (otherVersionsSum.answers() + 1);
        if (faultLogLikelihoodRatio(
                        newVersionSum.answers(), newVersionSum.failures(), baselineFailureShare, FAULT_FAILURE_SHARE)
                >= FAULT_LOG_LIKELIHOOD_THRESHOLD) {
            return Optional.of(String.format(
                    "failures on %s: share %.3f of %d answers, baseline %.3f of %d answers",
                    scope,
                    newVersionSum.failureShare(),
                    newVersionSum.answers(),
                    baselineFailureShare,
                    otherVersionsSum.answers()));
        }
        if (otherVersionsSum.answers() >= MINIMUM_ANSWERS_FOR_DURATION_BASELINE
                && newVersionSum.meanMs() > otherVersionsSum.meanMs() * SLOW_DURATION_RATIO) {
            return Optional.of(String.format(
                    "slow on %s: mean %.0f ms, baseline %.0f ms",
                    scope, newVersionSum.meanMs(), otherVersionsSum.meanMs()));
        }
        return Optional.empty();
    }

    private static double smallFaultLogLikelihoodRatio(final EvidenceWindow.Total total) {
        if (total.answers() < MINIMUM_ANSWERS_TO_JUDGE) {
            return 0;
        }
        double baselineFailureShare =
                total.expectedFailures() / total.answers() + UNOBSERVED_FAILURES / (total.otherAnswers() + 1);
        return faultLogLikelihoodRatio(
                total.answers(), total.failures(), baselineFailureShare, SMALL_FAULT_FAILURE_SHARE);
    }

    private static String describe(final EvidenceWindow evidence, final VersionMove current, final String conclusion) {
        EvidenceWindow.Total total = evidence.total(current.version());
        return String.format(
                "%s: %.0f failures in %d answers of the move, %.1f expected from %d answers of other versions",
                conclusion, total.failures(), total.answers(), total.expectedFailures(), total.otherAnswers());
    }

    /**
     * Returns the logarithm of the likelihood ratio of two explanations of the new version's failures: a fault that
     * adds a share of failures, and the failures that the other versions have as well.
     */
    private static double faultLogLikelihoodRatio(
            final long answers, final double failures, final double baselineFailureShare, final double faultShare) {
        double noiseFailureShare =
                Math.min(1 - 2 * faultShare, baselineFailureShare * NOISE_FAILURE_FACTOR + NOISE_FAILURE_SHARE);
        double faultyFailureShare = noiseFailureShare + faultShare;
        return failures * Math.log(faultyFailureShare / noiseFailureShare)
                + (answers - failures) * Math.log((1 - faultyFailureShare) / (1 - noiseFailureShare));
    }

    /**
     * The next state and share of a move and why it was chosen. Immutable and thread-safe.
     *
     * @param move the next state and share.
     * @param reason the reason, for logs.
     */
    public record Decision(VersionMove move, String reason) {}

    /**
     * A share and when it applies: the greater it is, the surer it must be that there is no small fault. Immutable and
     * thread-safe.
     *
     * @param elapsedFraction the elapsed fraction of the move from which the share applies.
     * @param sharePermille the share in thousandths.
     * @param maximumFaultLogLikelihood the logarithm of the likelihood ratio of small fault to noise up to which the
     *     share applies.
     */
    private record ShareStep(double elapsedFraction, int sharePermille, double maximumFaultLogLikelihood) {}
}
