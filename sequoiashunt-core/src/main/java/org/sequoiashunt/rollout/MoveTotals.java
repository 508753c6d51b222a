package org.sequoiashunt.rollout;

/**
 * Sums the calls of a move that one controller has read, and describes them for operators. Confined to one thread.
 */
final class MoveTotals {

    /** Number of the new version's requests below which a description says that they are few. */
    private static final long FEW_REQUESTS = 30;

    private PairedCounts failures = PairedCounts.NONE;

    /**
     * Adds the calls of a block.
     *
     * @param block the block, not null.
     */
    void add(final EvidenceBlock block) {
        VersionCounts counts = new VersionCounts();
        block.counts()
                .forEach(evidence ->
                        counts.add(evidence, evidence.targetVersion().equals(block.to())));
        failures = failures.plus(counts.failures());
    }

    /**
     * Returns the number of calls of the old and the new version together.
     *
     * @return the number of calls, zero or more.
     */
    long requests() {
        return failures.newTrials() + failures.oldTrials();
    }

    /**
     * Describes the numbers of requests and failures.
     *
     * @param newVersion the new version, not null.
     * @param oldVersion the old version, not null.
     * @return part of a sentence.
     */
    String describe(final String newVersion, final String oldVersion) {
        String few = failures.newTrials() < FEW_REQUESTS ? "only " : "";
        return "seen so far: " + few + describe(failures.newTrials(), failures.newEvents(), newVersion) + ", "
                + describe(failures.oldTrials(), failures.oldEvents(), oldVersion);
    }

    private static String describe(final long requests, final long failed, final String version) {
        return requests + " requests on " + version + " (" + failed + " failed)";
    }
}
