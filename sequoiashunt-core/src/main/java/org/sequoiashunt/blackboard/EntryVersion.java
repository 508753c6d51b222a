package org.sequoiashunt.blackboard;

/**
 * Version of an entry: a pair of numbers, compared in order.
 *
 * <p>Members use incarnation and sequence, rollouts use rank and sequence, the configuration head uses its version and
 * zero. Immutable and thread-safe.
 *
 * @param major the number compared first.
 * @param minor the number compared when the majors are equal.
 */
public record EntryVersion(long major, long minor) implements Comparable<EntryVersion> {

    /**
     * Creates a version.
     *
     * @param major the number compared first.
     * @param minor the number compared when the majors are equal.
     * @return the version, never null.
     */
    public static EntryVersion of(final long major, final long minor) {
        return new EntryVersion(major, minor);
    }

    /**
     * Tells whether this version replaces another one.
     *
     * @param other the version to compare with, not null.
     * @return true if this version is greater.
     */
    public boolean isNewerThan(final EntryVersion other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(final EntryVersion other) {
        int order = Long.compare(major, other.major);
        return order != 0 ? order : Long.compare(minor, other.minor);
    }
}
