package org.sequoiashunt.organisation;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Organisation whose callers use the mesh, without the keys that identify them.
 *
 * <p>Immutable and thread-safe. Invariant: the name is not blank, and the rank is not negative.
 *
 * @param name the name that targets get.
 * @param rank the rank of its requests, which takes precedence over the rank of their routes; lower ranks are more
 *     urgent.
 * @param quota the limit on its requests over all nodes; empty for none.
 * @param regions the regions in which its requests may be served; empty for all.
 */
public record Organisation(String name, OptionalInt rank, Optional<RateLimit> quota, Set<String> regions) {

    private static final Pattern SENDABLE = Pattern.compile("[\\x21-\\x7e]([\\x20-\\x7e]*[\\x21-\\x7e])?");

    /**
     * Checks the components and copies the set.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the name is blank or the rank is negative.
     */
    public Organisation {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(quota, "quota");
        regions = Set.copyOf(regions);
        if (name.isBlank()) {
            throw new IllegalArgumentException("an organisation needs a name");
        }
        if (rank.isPresent() && rank.getAsInt() < 0) {
            throw new IllegalArgumentException("rank must not be negative: " + rank.getAsInt());
        }
    }

    /**
     * Returns whether the name reaches targets unchanged.
     *
     * @return true if the name can be the value of a header.
     */
    public boolean hasSendableName() {
        return isSendable(name);
    }

    /** Returns whether a text can be the value of a header, around which white space is removed. */
    static boolean isSendable(final String text) {
        return SENDABLE.matcher(text).matches();
    }
}
