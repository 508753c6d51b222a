package org.sequoiashunt.rollout;

/**
 * Events among trials, under the new version and under the version beside it. Immutable and thread-safe.
 *
 * @param newTrials trials under the new version.
 * @param newEvents events among them.
 * @param oldTrials trials under the version beside it.
 * @param oldEvents events among them.
 */
record PairedCounts(long newTrials, long newEvents, long oldTrials, long oldEvents) {

    static final PairedCounts NONE = new PairedCounts(0, 0, 0, 0);

    /**
     * Adds counts.
     *
     * @param other the counts to add, not null.
     * @return the sum, never null.
     */
    PairedCounts plus(final PairedCounts other) {
        return new PairedCounts(
                newTrials + other.newTrials,
                newEvents + other.newEvents,
                oldTrials + other.oldTrials,
                oldEvents + other.oldEvents);
    }
}
