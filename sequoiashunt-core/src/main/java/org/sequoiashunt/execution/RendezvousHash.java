package org.sequoiashunt.execution;

import java.util.Collection;
import java.util.List;

/**
 * Ranks names for a key by a rendezvous hash, so that adding or removing a name changes only the keys of that name. The
 * weight of a name is an FNV-1a hash with a MurmurHash3 finalizer. Not instantiable; thread-safe.
 */
final class RendezvousHash {

    private static final long FIRST_MIX_FACTOR = 0xff51afd7ed558ccdL;
    private static final long SECOND_MIX_FACTOR = 0xc4ceb9fe1a85ec53L;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int MIX_SHIFT = 33;

    private RendezvousHash() {}

    /**
     * Returns the names that rank first for a key.
     *
     * @param key the key to rank the names for, not null.
     * @param names the names in any order, not null.
     * @param count maximum number of names to return, not negative.
     * @return the first names of the ranking, in order; fewer than {@code count} if there are fewer names.
     */
    static List<String> topRanked(final ClaimKey key, final Collection<String> names, final int count) {
        return names.stream()
                .map(name -> new Ranked(weight(key, name), name))
                .sorted()
                .limit(count)
                .map(Ranked::name)
                .toList();
    }

    private static long weight(final ClaimKey key, final String name) {
        long hash = FNV_OFFSET_BASIS ^ key.high();
        for (int index = 0; index < name.length(); index++) {
            hash = (hash ^ name.charAt(index)) * FNV_PRIME;
        }
        return mix(mix(hash) ^ key.low());
    }

    private static long mix(final long value) {
        long mixed = (value ^ value >>> MIX_SHIFT) * FIRST_MIX_FACTOR;
        mixed = (mixed ^ mixed >>> MIX_SHIFT) * SECOND_MIX_FACTOR;
        return mixed ^ mixed >>> MIX_SHIFT;
    }

    /** Name with its weight for a key; the lowest weight ranks first. Immutable. */
    private record Ranked(long weight, String name) implements Comparable<Ranked> {

        @Override
        public int compareTo(final Ranked other) {
            int order = Long.compare(weight, other.weight);
            return order != 0 ? order : name.compareTo(other.name);
        }
    }
}
