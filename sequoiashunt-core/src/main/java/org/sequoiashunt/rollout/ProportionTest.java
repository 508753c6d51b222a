package org.sequoiashunt.rollout;

/**
 * Sequential test of whether events are more frequent under a new version than under the version beside it.
 *
 * <p>The null hypothesis is that in every block the new version's rate exceeds the other's by no more than a
 * tolerance; the rates themselves may change from block to block, so a fault that hits both alike is no evidence. The
 * test holds an e-process: under the null hypothesis its expectation never exceeds one, whenever one looks, so it
 * reaches {@code 1 / alpha} at any time with probability {@code alpha} at most (Ville's inequality). It mixes over
 * several alternatives, and over the block with which the fault began, so that a long sound time costs little when a
 * fault shows late.
 *
 * <p>Each block's factor is the likelihood ratio between an alternative and the point of the null hypothesis nearest
 * to it in Kullback-Leibler divergence; as the null hypothesis is convex, its expectation is at most one under all of
 * it. Alternatives are chosen from earlier blocks only.
 *
 * <p>Confined to one thread.
 */
final class ProportionTest {

    private static final double[] LIFTS = {0.02, 0.1, 0.35, 0.9};
    private static final double HIGHEST_RATE = 0.98;
    private static final double FIRST_BLOCK_PRIOR = 0.2;
    private static final double LATER_BLOCKS_PRIOR = 0.8;
    private static final double PRIOR_DECAY_BLOCKS = 50;
    private static final double RATE_MEMORY = 0.9;
    private static final double PRIOR_EVENTS = 0.2;
    private static final double PRIOR_TRIALS = 100;

    private final double tolerance;
    private final double[] evidence = new double[LIFTS.length];
    private double pastEvents;
    private double pastTrials;
    private long blocks;

    /**
     * Creates a test.
     *
     * @param tolerance by how much the new version's rate may exceed the other's, above 0 and below 1.
     */
    ProportionTest(final double tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Returns a test in the same state that goes its own way from here.
     *
     * @return the copy, never null.
     */
    ProportionTest copy() {
        ProportionTest copy = new ProportionTest(tolerance);
        System.arraycopy(evidence, 0, copy.evidence, 0, evidence.length);
        copy.pastEvents = pastEvents;
        copy.pastTrials = pastTrials;
        copy.blocks = blocks;
        return copy;
    }

    /**
     * Takes in a block.
     *
     * @param counts the counts of the block, not null; without calls of both versions it changes nothing.
     */
    void add(final PairedCounts counts) {
        if (counts.newTrials() == 0 || counts.oldTrials() == 0) {
            return;
        }
        double oldRate = (pastEvents + PRIOR_EVENTS) / (pastTrials + PRIOR_TRIALS);
        double prior = blocks == 0
                ? FIRST_BLOCK_PRIOR
                : LATER_BLOCKS_PRIOR
                        * PRIOR_DECAY_BLOCKS
                        / ((blocks + PRIOR_DECAY_BLOCKS) * (blocks + PRIOR_DECAY_BLOCKS + 1));
        for (int index = 0; index < LIFTS.length; index++) {
            double newRate = Math.min(HIGHEST_RATE, oldRate + tolerance + LIFTS[index]);
            evidence[index] = (evidence[index] + prior) * Math.exp(logFactor(counts, newRate, oldRate));
            evidence[index] = Math.min(evidence[index], Double.MAX_VALUE / LIFTS.length);
        }
        pastEvents = pastEvents * RATE_MEMORY + counts.oldEvents();
        pastTrials = pastTrials * RATE_MEMORY + counts.oldTrials();
        blocks++;
    }

    /**
     * Returns the natural logarithm of the e-process.
     *
     * @return the logarithm, negative infinity before the first block.
     */
    double logEvidence() {
        double sum = 0;
        for (double part : evidence) {
            sum += part / LIFTS.length;
        }
        return Math.log(sum);
    }

    private double logFactor(final PairedCounts counts, final double newRate, final double oldRate) {
        if (newRate <= oldRate + tolerance) {
            return 0;
        }
        double nearest = nearestNull(counts, newRate, oldRate);
        return counts.newEvents() * Math.log(newRate / (nearest + tolerance))
                + (counts.newTrials() - counts.newEvents()) * Math.log((1 - newRate) / (1 - nearest - tolerance))
                + counts.oldEvents() * Math.log(oldRate / nearest)
                + (counts.oldTrials() - counts.oldEvents()) * Math.log((1 - oldRate) / (1 - nearest));
    }

    /** Returns the old version's rate at the point of the null hypothesis that is nearest to the alternative. */
    private double nearestNull(final PairedCounts counts, final double newRate, final double oldRate) {
        double low = oldRate;
        double high = newRate - tolerance;
        for (int round = 0; round < 40; round++) {
            double middle = (low + high) / 2;
            double slope = counts.newTrials() * slope(newRate, middle + tolerance)
                    + counts.oldTrials() * slope(oldRate, middle);
            if (slope > 0) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return (low + high) / 2;
    }

    /** Returns the derivative by {@code rate} of the divergence of a Bernoulli variable of {@code rate}. */
    private static double slope(final double alternative, final double rate) {
        return (rate - alternative) / (rate * (1 - rate));
    }
}
