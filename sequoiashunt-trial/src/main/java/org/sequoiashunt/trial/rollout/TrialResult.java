package org.sequoiashunt.trial.rollout;

import java.util.OptionalLong;

/**
 * What happened in one trial. Immutable and thread-safe.
 *
 * @param done whether the new version ended with all traffic.
 * @param inTime whether it did so by finishBy.
 * @param takenBack whether the new version ended without traffic.
 * @param shownMs when a request first met the version's fault, since the commit, in milliseconds.
 * @param takenBackMs when the first domain took the version back, since the commit, in milliseconds.
 * @param requestsBefore all requests of the service until the fault showed, or until the end if it did not.
 * @param newBefore requests on the new version until then.
 * @param newAfter requests on the new version from then on.
 * @param newAfterTwoSeconds requests on the new version later than two seconds after the fault showed.
 * @param requests all requests until the move was decided.
 * @param reason the reason given to operators.
 */
record TrialResult(
        boolean done,
        boolean inTime,
        boolean takenBack,
        OptionalLong shownMs,
        OptionalLong takenBackMs,
        long requestsBefore,
        long newBefore,
        long newAfter,
        long newAfterTwoSeconds,
        long requests,
        String reason) {}
