package org.sequoiashunt.commit;

import java.util.Objects;

/**
 * Value of the head key, which names the record of the accepted version. Immutable and thread-safe.
 *
 * @param version the configuration version.
 * @param commitId the id of the commit.
 * @param record the key of the commit record in the store.
 */
public record HeadDocument(long version, String commitId, String record) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public HeadDocument {
        Objects.requireNonNull(commitId, "commitId");
        Objects.requireNonNull(record, "record");
    }

    /**
     * Creates the head that names a commit record.
     *
     * @param record the record, not null.
     * @return the head, never null.
     */
    public static HeadDocument of(final CommitRecord record) {
        return new HeadDocument(record.version(), record.commitId(), record.key());
    }
}
