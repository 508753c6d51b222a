package org.sequoiashunt.trial.store;

/**
 * Numbers of calls received by the fake store since its start, refused ones included. Immutable and thread-safe.
 *
 * @param reads reads and lists.
 * @param watches watches, each counted once however long it waits.
 * @param writes compare-and-swaps.
 * @param leases lease calls.
 * @param conflicts compare-and-swaps that found another revision.
 * @param rateRefusals calls refused because a rate was exceeded.
 * @param outageRefusals calls refused or left unanswered because of an outage.
 */
public record StoreCounts(
        long reads, long watches, long writes, long leases, long conflicts, long rateRefusals, long outageRefusals) {

    /**
     * Returns the number of all calls.
     *
     * @return reads, watches, writes and lease calls together.
     */
    public long calls() {
        return reads + watches + writes + leases;
    }
}
