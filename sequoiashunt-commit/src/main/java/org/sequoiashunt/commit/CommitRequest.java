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
 * Configuration that an operator wants to put in force, as a whole.
 *
 * <p>Immutable and thread-safe. Invariants: the commit's identity is fit for a key; the maps are unmodifiable.
 *
 * @param groups the failure domains of each home group, by group.
 * @param services the configuration of each service, by service.
 * @param author who commits.
 * @param message why.
 * @param commitId the identity of the commit; the same one for each repetition.
 * @param repeatable whether an earlier attempt may have used the identity, so that the chain must be searched for it.
 * @param expectedVersion the version on which the change is based, empty for whatever is in force.
 */
public record CommitRequest(
        SortedMap<String, List<String>> groups,
        SortedMap<String, ServiceConfiguration> services,
        String author,
        String message,
        String commitId,
        boolean repeatable,
        OptionalLong expectedVersion) {

    private static final Pattern COMMIT_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9-]{0,63}");

    /**
     * Checks the components and copies the maps.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the identity has another form than letters, digits and hyphens.
     */
    public CommitRequest {
        groups = Collections.unmodifiableSortedMap(new TreeMap<>(groups));
        services = Collections.unmodifiableSortedMap(new TreeMap<>(services));
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(expectedVersion, "expectedVersion");
        if (!isCommitId(commitId)) {
            throw new IllegalArgumentException("not a commit id: " + commitId);
        }
    }

    /**
     * Tells whether a text can identify a commit.
     *
     * @param text the text, not null.
     * @return true if it has at most 64 letters, digits and hyphens and does not start with a hyphen.
     */
    public static boolean isCommitId(final String text) {
        return COMMIT_ID.matcher(Objects.requireNonNull(text, "text")).matches();
    }
}
