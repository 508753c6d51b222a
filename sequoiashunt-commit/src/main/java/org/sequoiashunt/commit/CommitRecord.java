package org.sequoiashunt.commit;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.store.StoreKeys;

/**
 * Record of one commit in the platform's store: the author, time and reason of the change, and the configuration.
 *
 * <p>Immutable and thread-safe. Invariants: the version is positive; the maps are unmodifiable.
 *
 * @param version the configuration version, counted from 1.
 * @param commitId the id of the commit.
 * @param author the person who committed.
 * @param atMs the time of the commit, in milliseconds since the epoch.
 * @param message the reason for the change.
 * @param previous the key of the record before this one, null for the first.
 * @param parts the digest of each service's part, by service.
 * @param groups the failure domains of each home group, by group.
 */
public record CommitRecord(
        long version,
        String commitId,
        String author,
        long atMs,
        String message,
        String previous,
        SortedMap<String, String> parts,
        SortedMap<String, List<String>> groups) {

    /**
     * Checks the components and copies the maps.
     *
     * @throws NullPointerException if a component other than {@code previous} is null.
     * @throws IllegalArgumentException if the version is not positive.
     */
    public CommitRecord {
        Objects.requireNonNull(commitId, "commitId");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(message, "message");
        if (version < 1) {
            throw new IllegalArgumentException("version must be positive: " + version);
        }
        parts = Collections.unmodifiableSortedMap(new TreeMap<>(parts));
        groups = Collections.unmodifiableSortedMap(new TreeMap<>(groups));
    }

    /**
     * Returns the key under which this record is stored.
     *
     * @return the key, never null.
     */
    public String key() {
        return StoreKeys.CONFIGURATION_VERSIONS_PREFIX + version + "-" + commitId;
    }

    /**
     * Tells whether another record holds the same configuration.
     *
     * @param other the other record, not null.
     * @return true if parts and groups are equal.
     */
    public boolean hasSameContent(final CommitRecord other) {
        return parts.equals(other.parts) && groups.equals(other.groups);
    }

    /**
     * Returns the part of this record that nodes need.
     *
     * @return the head of the configuration, never null.
     */
    public ConfigurationHead toHead() {
        return new ConfigurationHead(version, commitId, parts, groups);
    }
}
