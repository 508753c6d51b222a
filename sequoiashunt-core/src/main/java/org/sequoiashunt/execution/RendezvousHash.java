package org.sequoiashunt.execution;

import java.util.Collection;
import java.util.List;

/**
 * Ranks names for a key such that adding or removing a name moves only the keys of that name. Not instantiable;
 * thread-safe.
 */
final class RendezvousHash {

    private static final long FIRST_FACTOR = 0xff51afd7ed558ccdL;
    private static final long SECOND_FACTOR = 0xc4ceb9fe1a85ec53L;
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final int SHIFT = 33;

    private RendezvousHash() {}

    /**
     * Ranks names.
     *
     * @param key the key, not null.
     * @param names the names, not null.
     * @param count how many names to return at most.
     * @return the first names of the ranking.
     */
    static List<String> first(final ClaimKey key, final Collection<String> names, final int count) {
        return names.stream()
                .map(name -> new Ranked(weight(key, name), name))
                .sorted()
                .limit(count)
                .map(Ranked::name)
                .toList();
    }

    private static long weight(final ClaimKey key, final String name) {
        long hash = OFFSET ^ key.high();
        for (int index = 0; index < name.length(); index++) {
            hash = (hash ^ name.charAt(index)) * PRIME;
        }
        return mix(mix(hash) ^ key.low());
    }

    private static long mix(final long value) {
        long mixed = (value ^ value >>> SHIFT) * FIRST_FACTOR;
        mixed = (mixed ^ mixed >>> SHIFT) * SECOND_FACTOR;
        return mixed ^ mixed >>> SHIFT;
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
