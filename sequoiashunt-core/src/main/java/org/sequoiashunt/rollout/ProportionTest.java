package org.sequoiashunt.rollout;

/**
 * Sequential hypothesis test of whether events are more frequent under the new version than under the old version.
 *
 * <p>The null hypothesis is that in every block the new version's event rate exceeds the old version's by no more
 * than a tolerance. The rates may change from block to block, so a fault that affects both versions equally is no
 * evidence. The test maintains an e-process: under the null hypothesis its expectation never exceeds one at any
 * stopping time, so it ever reaches {@code 1 / alpha} with probability {@code alpha} at most (Ville's inequality).
 * The e-process is a mixture over several alternatives and over the block in which the fault began, so that a long
 * healthy period delays the detection of a late fault only a little.
 *
 * <p>Each block's factor is the likelihood ratio between an alternative and the point of the null hypothesis nearest
 * to the alternative in Kullback-Leibler divergence. Since the null hypothesis is convex, the expectation of the
 * factor is at most one under every point of it. Alternatives are chosen from earlier blocks only.
 *
 * <p>Confined to one thread.
 */
final class ProportionTest {

    /** Alternatives of the mixture: increases of the new version's event rate beyond the tolerance. */
    private static final double[] RATE_INCREASES = {0.02, 0.1, 0.35, 0.9};

    private static final double HIGHEST_RATE = 0.98;
    /** Prior probability that the fault begins with the first block; the other blocks share the remainder. */
    private static final double FIRST_BLOCK_PRIOR = 0.2;

    private static final double LATER_BLOCKS_PRIOR = 0.8;
    private static final double PRIOR_DECAY_BLOCKS = 50;
    /** Factor by which the weight of earlier blocks in the estimate of the old rate decreases with each block. */
    private static final double RATE_RETENTION_PER_BLOCK = 0.9;
    /** Events added to the estimate of the old rate, among {@link #PRIOR_TRIALS}, so that it is never zero. */
    private static final double PRIOR_EVENTS = 0.2;

    private static final double PRIOR_TRIALS = 100;

    private final double tolerance;
    private final double[] evidenceByIncrease = new double[RATE_INCREASES.length];
    private double pastEvents;
    private double pastTrials;
    private long blockCount;

    /**
     * Creates a test.
     *
     * @param tolerance by how much the new version's event rate may exceed the old version's, above 0 and below 1.
     */
    ProportionTest(final double tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Returns an independent copy of this test in its present state.
     *
     * @return the copy, never null.
     */
    ProportionTest copy() {
        ProportionTest copy = new ProportionTest(tolerance);
        System.arraycopy(evidenceByIncrease, 0, copy.evidenceByIncrease, 0, evidenceByIncrease.length);
        copy.pastEvents = pastEvents;
        copy.pastTrials = pastTrials;
        copy.blockCount = blockCount;
        return copy;
    }

    /**
     * Adds a block.
     *
     * @param counts the counts of the block, not null; a block that lacks trials of the old or the new version is
     *     ignored.
     */
    void add(final PairedCounts counts) {
        if (counts.newTrials() == 0 || counts.oldTrials() == 0) {
            return;
        }
        double oldRate = (pastEvents + PRIOR_EVENTS) / (pastTrials + PRIOR_TRIALS);
        double prior = blockCount == 0
                ? FIRST_BLOCK_PRIOR
                : LATER_BLOCKS_PRIOR
                        * PRIOR_DECAY_BLOCKS
                        / ((blockCount + PRIOR_DECAY_BLOCKS) * (blockCount + PRIOR_DECAY_BLOCKS + 1));
        for (int index = 0; index < RATE_INCREASES.length; index++) {
            double newRate = Math.min(HIGHEST_RATE, oldRate + tolerance + RATE_INCREASES[index]);
            evidenceByIncrease[index] =
                    (evidenceByIncrease[index] + prior) * Math.exp(logLikelihoodRatio(counts, newRate, oldRate));
            evidenceByIncrease[index] = Math.min(evidenceByIncrease[index], Double.MAX_VALUE / RATE_INCREASES.length);
        }
        pastEvents = pastEvents * RATE_RETENTION_PER_BLOCK + counts.oldEvents();
        pastTrials = pastTrials * RATE_RETENTION_PER_BLOCK + counts.oldTrials();
        blockCount++;
    }

    /**
     * Returns the natural logarithm of the e-process.
     *
     * @return the logarithm, negative infinity before the first block.
     */
    double logEvidence() {
        double sum = 0;
        for (double evidence : evidenceByIncrease) {
            sum += evidence / RATE_INCREASES.length;
        }
        return Math.log(sum);
    }

    private double logLikelihoodRatio(final PairedCounts counts, final double newRate, final double oldRate) {
        if (newRate <= oldRate + tolerance) {
            return 0;
        }
        double nullRate = nearestNullRate(counts, newRate, oldRate);
        return counts.newEvents() * Math.log(newRate / (nullRate + tolerance))
                + (counts.newTrials() - counts.newEvents()) * Math.log((1 - newRate) / (1 - nullRate - tolerance))
                + counts.oldEvents() * Math.log(oldRate / nullRate)
                + (counts.oldTrials() - counts.oldEvents()) * Math.log((1 - oldRate) / (1 - nullRate));
    }

    /**
     * Returns the old version's rate at the point of the null hypothesis that is nearest to the alternative, found by
     * bisection.
     */
    private double nearestNullRate(final PairedCounts counts, final double newRate, final double oldRate) {
        double low = oldRate;
        double high = newRate - tolerance;
        for (int iteration = 0; iteration < 40; iteration++) {
            double middle = (low + high) / 2;
            double slope = counts.newTrials() * divergenceSlope(newRate, middle + tolerance)
                    + counts.oldTrials() * divergenceSlope(oldRate, middle);
            if (slope > 0) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return (low + high) / 2;
    }

    /**
     * Returns the derivative by {@code rate} of the Kullback-Leibler divergence between Bernoulli variables of rates
     * {@code alternative} and {@code rate}.
     */
    private static double divergenceSlope(final double alternative, final double rate) {
        return (rate - alternative) / (rate * (1 - rate));
    }
}
