package org.sequoiashunt.commit;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Request to replace the whole accepted configuration by another one.
 *
 * <p>Immutable and thread-safe. Invariants: the commit id can be part of a store key; the maps are unmodifiable.
 *
 * @param groups the failure domains of each home group, by group.
 * @param services the configuration of each service, by service.
 * @param author the person who commits.
 * @param message the reason for the change.
 * @param commitId the id of the commit; a repetition uses the same id.
 * @param possiblyRepeated whether an earlier attempt may have used the commit id, so that the chain of records must be
 *     searched for it.
 * @param expectedVersion the version on which the change is based, empty to replace any version.
 */
public record CommitRequest(
        SortedMap<String, List<String>> groups,
        SortedMap<String, ServiceConfiguration> services,
        String author,
        String message,
        String commitId,
        boolean possiblyRepeated,
        OptionalLong expectedVersion) {

    private static final Pattern COMMIT_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9-]{0,63}");

    /**
     * Checks the components and copies the maps.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the commit id does not have the form that {@link #isCommitId} requires.
     */
    public CommitRequest {
        groups = Collections.unmodifiableSortedMap(new TreeMap<>(groups));
        services = Collections.unmodifiableSortedMap(new TreeMap<>(services));
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(expectedVersion, "expectedVersion");
        if (!isCommitId(commitId)) {
            throw new IllegalArgumentException("invalid commit id: " + commitId);
        }
    }

    /**
     * Tells whether a text is a valid commit id.
     *
     * @param text the text, not null.
     * @return true if it has at most 64 letters, digits and hyphens and does not start with a hyphen.
     */
    public static boolean isCommitId(final String text) {
        return COMMIT_ID.matcher(Objects.requireNonNull(text, "text")).matches();
    }
}
