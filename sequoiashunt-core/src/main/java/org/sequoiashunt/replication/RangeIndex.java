package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.membership.StableHash;

/**
 * Hashes over the ranges of the blackboard and over their buckets, derived anew only when a section changed.
 *
 * <p>Confined to one thread. Invariant: two blackboards with the same entries in a range give the same hashes.
 */
final class RangeIndex {

    private static final int ENTRIES_PER_BUCKET = 16;
    private static final int MAXIMUM_BUCKETS = 256;

    private final Blackboard blackboard;
    private final Map<Section, IndexedSection> sections = new EnumMap<>(Section.class);

    RangeIndex(final Blackboard blackboard) {
        this.blackboard = blackboard;
    }

    /** Returns the service part of an entry's name, empty unless its section replicates per service. */
    static String service(final Section section, final String name) {
        if (section.scope() != Section.Scope.SAME_SERVICE) {
            return "";
        }
        int slash = name.indexOf('/');
        return slash < 0 ? name : name.substring(0, slash);
    }

    List<Entry> entries(final Section section, final String service) {
        return indexed(section).byService.getOrDefault(service, List.of());
    }

    long hash(final Section section, final String service) {
        IndexedSection indexed = indexed(section);
        return indexed.hashes.computeIfAbsent(service, name -> hash(entries(section, name)));
    }

    int bucketCount(final Section section, final String service) {
        int wanted = entries(section, service).size() / ENTRIES_PER_BUCKET;
        return Math.min(MAXIMUM_BUCKETS, Math.max(1, Integer.highestOneBit(wanted)));
    }

    List<Long> bucketHashes(final Section section, final String service, final int bucketCount) {
        long[] hashes = new long[bucketCount];
        for (Entry entry : entries(section, service)) {
            hashes[bucket(entry.key().name(), bucketCount)] ^= hash(entry);
        }
        List<Long> list = new ArrayList<>(bucketCount);
        for (long hash : hashes) {
            list.add(hash);
        }
        return list;
    }

    static int bucket(final String name, final int bucketCount) {
        return (int) (StableHash.of(name) & bucketCount - 1);
    }

    private static long hash(final List<Entry> entries) {
        long hash = 0;
        for (Entry entry : entries) {
            hash ^= hash(entry);
        }
        return hash;
    }

    private static long hash(final Entry entry) {
        long hash = StableHash.of(entry.key().name());
        hash = StableHash.combine(hash, entry.version().major());
        hash = StableHash.combine(hash, entry.version().minor());
        return StableHash.combine(hash, StableHash.of(entry.writer()));
    }

    private IndexedSection indexed(final Section section) {
        long changes = blackboard.changeCount(section);
        IndexedSection present = sections.get(section);
        if (present == null || present.changes != changes) {
            present = new IndexedSection(changes, byService(section), new HashMap<>());
            sections.put(section, present);
        }
        return present;
    }

    private Map<String, List<Entry>> byService(final Section section) {
        Map<String, List<Entry>> byService = new HashMap<>();
        for (Entry entry : blackboard.entries(section)) {
            String service = service(section, entry.key().name());
            byService.computeIfAbsent(service, name -> new ArrayList<>()).add(entry);
        }
        return byService;
    }

    /** Entries of one section as of a number of changes. Confined to the thread of its index. */
    private record IndexedSection(long changes, Map<String, List<Entry>> byService, Map<String, Long> hashes) {}
}
