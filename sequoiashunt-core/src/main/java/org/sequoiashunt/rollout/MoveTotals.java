package org.sequoiashunt.rollout;

/**
 * Calls seen by one controller over a move, in words for operators. Confined to one thread.
 */
final class MoveTotals {

    private static final long FEW_REQUESTS = 30;

    private PairedCounts failures = PairedCounts.NONE;

    /**
     * Takes in a block.
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
     * Returns how many calls were seen, of both versions.
     *
     * @return the number of calls.
     */
    long requests() {
        return failures.newTrials() + failures.oldTrials();
    }

    /**
     * Describes what was seen.
     *
     * @param newVersion the new version, not null.
     * @param oldVersion the version beside it, not null.
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
