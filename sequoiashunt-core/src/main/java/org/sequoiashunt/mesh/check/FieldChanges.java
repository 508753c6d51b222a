package org.sequoiashunt.mesh.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/** Collects the fields in which two entries differ. Not thread-safe. */
final class FieldChanges {

    private final List<String> changes = new ArrayList<>();

    FieldChanges compare(final String field, final Object before, final Object after) {
        if (!Objects.equals(before, after)) {
            changes.add(field + " " + before + " -> " + after);
        }
        return this;
    }

    FieldChanges compareRegions(final Set<String> before, final Set<String> after) {
        return compare("regions", describeRegions(before), describeRegions(after));
    }

    void add(final String change) {
        changes.add(change);
    }

    private static String describeRegions(final Set<String> regions) {
        return regions.isEmpty() ? "all" : new TreeSet<>(regions).toString();
    }

    /** Returns the changes on one line; empty if there are none. */
    String describe() {
        return String.join("; ", changes);
    }
}
