package org.sequoiashunt.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.execution.QuarantinedRequest;

final class MergePropertyTest {

    @Property
    void resultDoesNotDependOnOrderOrRepetition(@ForAll("updates") final List<Entry> updates, @ForAll final long seed) {
        List<Entry> reordered = new ArrayList<>(updates);
        reordered.addAll(updates.subList(0, updates.size() / 2));
        Collections.shuffle(reordered, new Random(seed));
        Blackboard first = merged(updates);
        Blackboard second = merged(reordered);
        assertEquals(first.entries(Section.QUARANTINE), second.entries(Section.QUARANTINE));
        assertEquals(hash(first), hash(second));
    }

    @Property
    void versionOfKeyNeverDecreases(@ForAll("updates") final List<Entry> updates) {
        Blackboard blackboard = new Blackboard();
        for (Entry update : updates) {
            EntryVersion before =
                    blackboard.find(update.key()).map(Entry::version).orElse(update.version());
            blackboard.merge(update);
            EntryVersion after = blackboard.find(update.key()).orElseThrow().version();
            assertFalse(before.isNewerThan(after));
        }
    }

    @Property
    void hashesDifferWhenOneEntryDiffers(@ForAll("updates") final List<Entry> updates) {
        Blackboard first = merged(updates);
        Blackboard second = merged(updates);
        second.merge(entry("another", 9, "node-9"));
        assertNotEquals(hash(first), hash(second));
    }

    @Provide
    Arbitrary<List<Entry>> updates() {
        Arbitrary<String> names = Arbitraries.of("a", "b", "c", "d");
        Arbitrary<Integer> versions = Arbitraries.integers().between(0, 4);
        Arbitrary<String> writers = Arbitraries.of("node-1", "node-2", "node-3");
        return Combinators.combine(names, versions, writers)
                .as(MergePropertyTest::entry)
                .list()
                .ofMinSize(1)
                .ofMaxSize(40);
    }

    /** One writer never writes two contents under one version. */
    private static Entry entry(final String name, final int version, final String writer) {
        QuarantinedRequest value = new QuarantinedRequest(name + writer, version, version);
        return Entry.of(name, writer, EntryVersion.of(version, 0), value);
    }

    private static Blackboard merged(final List<Entry> updates) {
        Blackboard blackboard = new Blackboard();
        updates.forEach(blackboard::merge);
        return blackboard;
    }

    private static long hash(final Blackboard blackboard) {
        return new RangeIndex(blackboard).hash(Section.QUARANTINE, "");
    }
}
