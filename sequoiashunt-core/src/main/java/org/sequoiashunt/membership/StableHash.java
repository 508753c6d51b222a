package org.sequoiashunt.membership;

/**
 * Hash that is the same on every node and in every release. Not instantiable; thread-safe.
 */
public final class StableHash {

    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private StableHash() {}

    /**
     * Hashes text.
     *
     * @param text the text, not null.
     * @return the hash; every bit depends on every character.
     */
    public static long of(final String text) {
        long hash = OFFSET_BASIS;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * PRIME;
        }
        return mix(hash);
    }

    /**
     * Combines a hash with a further number. The order of combination matters.
     *
     * @param hash the hash so far.
     * @param number the number to add.
     * @return the combined hash.
     */
    public static long combine(final long hash, final long number) {
        return mix(hash * PRIME + number);
    }

    private static long mix(final long value) {
        long mixed = (value ^ value >>> MIX_SHIFT) * MIX_FIRST;
        mixed = (mixed ^ mixed >>> MIX_SHIFT) * MIX_SECOND;
        return mixed ^ mixed >>> MIX_SHIFT;
    }
}
