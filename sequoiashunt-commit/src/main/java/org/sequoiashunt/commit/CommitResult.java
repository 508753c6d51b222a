package org.sequoiashunt.commit;

import java.util.Objects;
import java.util.Optional;

/**
 * Result of a commit. Immutable and thread-safe.
 *
 * @param outcome whether the commit took effect, as far as this is certain.
 * @param commitId the id of the commit.
 * @param record the record of this commit if it was committed, the accepted record if there was nothing to change, the
 *     record of the other commit if the race was lost; empty if the store did not answer.
 * @param detail the error that the store reported, empty if it reported none.
 */
public record CommitResult(Outcome outcome, String commitId, Optional<CommitRecord> record, String detail) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public CommitResult {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(commitId, "commitId");
        Objects.requireNonNull(record, "record");
        Objects.requireNonNull(detail, "detail");
    }

    /** Whether a commit took effect. Immutable and thread-safe. */
    public enum Outcome {
        /** The configuration was accepted; a later commit may have replaced it. */
        COMMITTED,
        /** The accepted configuration has the same content; nothing was changed. */
        UNCHANGED,
        /** Another commit was accepted first; this one has no effect and will not take effect later. */
        LOST_RACE,
        /** The store did not answer; this attempt has no effect and will not take effect later. */
        NOT_COMMITTED,
        /** The store did not answer; the commit may have taken effect or may take effect later. */
        NOT_KNOWN
    }
}
