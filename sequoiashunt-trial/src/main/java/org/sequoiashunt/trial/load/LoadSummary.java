package org.sequoiashunt.trial.load;

/**
 * What callers sent and what became of it. Immutable and thread-safe.
 *
 * @param sent requests, resends not counted.
 * @param answered requests that got the whole answer to themselves, with success.
 * @param failedByTarget requests that a target answered with a failure.
 * @param notRun requests that ended with a refusal that says not-run.
 * @param unknown requests that ended without the caller knowing whether they were run.
 * @param wrongAnswers requests that got the answer to another request.
 * @param lostLookups lookups that ended without an answer of a target.
 * @param doubled requests that must not run twice and did.
 * @param falseNotRun requests that were refused as not-run and yet were run.
 * @param resends requests sent again by their caller.
 * @param cuts sends that ended without any answer on a connection that had been opened.
 */
public record LoadSummary(
        long sent,
        long answered,
        long failedByTarget,
        long notRun,
        long unknown,
        long wrongAnswers,
        long lostLookups,
        long doubled,
        long falseNotRun,
        long resends,
        long cuts) {

    /**
     * Counts the requests that ended without an answer of a target.
     *
     * @return the number lost.
     */
    public long lost() {
        return sent - answered - failedByTarget;
    }

    /**
     * Tells whether what must never happen, whatever fails, did not happen.
     *
     * @return true if no answer was crossed, no reservation doubled and no refusal false.
     */
    public boolean isSafe() {
        return wrongAnswers == 0 && doubled == 0 && falseNotRun == 0;
    }

    /**
     * Tells whether every request was answered, by its own answer, and none was run twice.
     *
     * @return true if nothing was lost, crossed or doubled, and no refusal was false.
     */
    public boolean isClean() {
        return lost() == 0 && isSafe();
    }

    @Override
    public String toString() {
        return ("sent %d, answered %d, failed by a target %d, lost %d (not-run %d, unknown %d, lookups %d), "
                        + "wrong answers %d, doubled %d, false not-run %d, resends %d, cuts %d")
                .formatted(
                        sent,
                        answered,
                        failedByTarget,
                        lost(),
                        notRun,
                        unknown,
                        lostLookups,
                        wrongAnswers,
                        doubled,
                        falseNotRun,
                        resends,
                        cuts);
    }
}
