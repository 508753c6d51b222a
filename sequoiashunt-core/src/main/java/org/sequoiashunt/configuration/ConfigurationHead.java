package org.sequoiashunt.configuration;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.Section;

/**
 * Index of one version of the configuration: the digests of its parts and its home groups. The entry's name is
 * {@link #NAME}; its version has the configuration version as major and zero as minor number.
 *
 * <p>Immutable and thread-safe. Invariants: the version is positive; the maps are unmodifiable.
 *
 * @param version the configuration version, positive, increased by one with each commit.
 * @param commitId the identity of the commit.
 * @param parts the digest of each service's part, by service name.
 * @param groups the failure domains of each home group, by group name.
 */
public record ConfigurationHead(
        long version, String commitId, SortedMap<String, String> parts, SortedMap<String, List<String>> groups)
        implements EntryValue {

    /** Name of the only entry in its section. */
    public static final String NAME = "head";

    /**
     * Checks the components and copies the maps.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the version is not positive.
     */
    public ConfigurationHead {
        Objects.requireNonNull(commitId, "commitId");
        if (version < 1) {
            throw new IllegalArgumentException("version must be positive: " + version);
        }
        parts = Collections.unmodifiableSortedMap(new TreeMap<>(parts));
        groups = Collections.unmodifiableSortedMap(new TreeMap<>(groups));
    }

    @Override
    public Section section() {
        return Section.CONFIGURATION_HEAD;
    }
}
