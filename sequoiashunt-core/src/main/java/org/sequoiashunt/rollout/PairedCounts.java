package org.sequoiashunt.rollout;

/**
 * Numbers of trials and of events among them, such as calls and failures, for the new and the old version. Immutable
 * and thread-safe.
 *
 * @param newTrials number of trials of the new version.
 * @param newEvents number of events among the trials of the new version.
 * @param oldTrials number of trials of the old version.
 * @param oldEvents number of events among the trials of the old version.
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
