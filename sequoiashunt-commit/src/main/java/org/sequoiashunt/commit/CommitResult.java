package org.sequoiashunt.commit;

import java.util.Objects;
import java.util.Optional;

/**
 * How a commit ended. Immutable and thread-safe.
 *
 * @param outcome what is known.
 * @param commitId the identity of the commit.
 * @param record the record in question: one's own if committed, the one in force if there was nothing to change, the
 *     winner's if the race was lost; empty if it is not known.
 * @param detail what the store reported, may be empty.
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

    /** What is known after a commit. Immutable and thread-safe. */
    public enum Outcome {
        /** The configuration is the accepted one, or was before a later commit. */
        COMMITTED,
        /** The accepted configuration has the same content already. */
        UNCHANGED,
        /** Another commit came first; this one has no effect and never will. */
        LOST_RACE,
        /** The store did not answer; this attempt has no effect and never will. */
        NOT_COMMITTED,
        /** The store did not answer; the commit may have taken effect or may still. */
        NOT_KNOWN
    }
}
