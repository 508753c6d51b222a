package org.sequoiashunt.commit;

import java.util.Objects;

/**
 * Value of the head key: names the record of the accepted version. Immutable and thread-safe.
 *
 * @param version the configuration version.
 * @param commitId the identity of the commit.
 * @param record the key of the record.
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
     * Creates the head that names a record.
     *
     * @param record the record, not null.
     * @return the head, never null.
     */
    public static HeadDocument of(final CommitRecord record) {
        return new HeadDocument(record.version(), record.commitId(), record.key());
    }
}
