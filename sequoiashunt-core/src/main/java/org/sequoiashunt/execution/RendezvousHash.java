package org.sequoiashunt.execution;

import java.util.Collection;
import java.util.List;

/**
 * Ranks names for a key such that adding or removing a name moves only the keys of that name. Not instantiable;
 * thread-safe.
 */
final class RendezvousHash {

    private static final long FIRST_MIX_FACTOR = 0xff51afd7ed558ccdL;
    private static final long SECOND_MIX_FACTOR = 0xc4ceb9fe1a85ec53L;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int MIX_SHIFT = 33;

    private RendezvousHash() {}

    /**
     * Ranks names.
     *
     * @param key the key, not null.
     * @param names the names, not null.
     * @param count how many names to return at most.
     * @return the first names of the ranking.
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

    /** Name with its weight. Immutable. */
    private record Ranked(long weight, String name) implements Comparable<Ranked> {

        @Override
        public int compareTo(final Ranked other) {
            int order = Long.compare(weight, other.weight);
            return order != 0 ? order : name.compareTo(other.name);
        }
    }
}
