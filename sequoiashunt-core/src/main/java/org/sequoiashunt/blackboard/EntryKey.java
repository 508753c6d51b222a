package org.sequoiashunt.blackboard;

import java.util.Objects;

/**
 * Name of an entry on the blackboard.
 *
 * <p>Immutable and thread-safe. Invariant: section and name are present, the name is not empty.
 *
 * @param section the section that holds the entry.
 * @param name the name within the section.
 */
public record EntryKey(Section section, String name) implements Comparable<EntryKey> {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the name is empty.
     */
    public EntryKey {
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(name, "name");
        if (name.isEmpty()) {
            throw new IllegalArgumentException("name must not be empty");
        }
    }

    /**
     * Creates a key.
     *
     * @param section the section, not null.
     * @param name the name, neither null nor empty.
     * @return the key, never null.
     */
    public static EntryKey of(final Section section, final String name) {
        return new EntryKey(section, name);
    }

    @Override
    public int compareTo(final EntryKey other) {
        int order = section.compareTo(other.section);
        return order != 0 ? order : name.compareTo(other.name);
    }
}
