package org.sequoiashunt.store;

/**
 * Numbers that order revisions of the store over restores from an older copy: by era first, then by revision. A number
 * of era 0 is the revision itself.
 *
 * <p>The numbers are compared and serve as conditions of writes; nothing counts with them. Not instantiable;
 * thread-safe.
 */
public final class StoreRevision {

    /** Bits of a revision: at 1,200 writes a second they last for 29 years. */
    private static final int REVISION_BITS = 40;

    private static final long REVISION_LIMIT = 1L << REVISION_BITS;

    private static final long ERA_LIMIT = 1L << (Long.SIZE - 1 - REVISION_BITS);

    private StoreRevision() {}

    /**
     * Combines an era and a revision.
     *
     * @param era the number of restores before, zero or more.
     * @param revision the revision within the era, zero or more.
     * @return the number, which grows with the era and within an era with the revision.
     * @throws IllegalArgumentException if the era or the revision is out of range.
     */
    public static long of(final long era, final long revision) {
        if (era < 0 || era >= ERA_LIMIT || revision < 0 || revision >= REVISION_LIMIT) {
            throw new IllegalArgumentException("era or revision out of range: " + era + ", " + revision);
        }
        return era << REVISION_BITS | revision;
    }

    /**
     * Returns the era of a number.
     *
     * @param number the number, zero or more.
     * @return the era.
     */
    public static long eraOf(final long number) {
        return number >> REVISION_BITS;
    }

    /**
     * Returns the revision of a number within its era.
     *
     * @param number the number, zero or more.
     * @return the revision as the store knows it.
     */
    public static long revisionOf(final long number) {
        return number & (REVISION_LIMIT - 1);
    }
}
