package org.sequoiashunt.blackboard;

import java.util.Objects;

/**
 * One replicated fact: a value under a key, with the node that wrote it and a version that only grows.
 *
 * <p>Immutable and thread-safe. Invariant: the value belongs to the section of the key.
 *
 * @param key the name of the entry.
 * @param writer the node that wrote this version.
 * @param version the version; of two entries with one key the higher version replaces the other.
 * @param value the content.
 */
public record Entry(EntryKey key, String writer, EntryVersion version, EntryValue value) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the value belongs to another section than the key.
     */
    public Entry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(value, "value");
        if (value.section() != key.section()) {
            throw new IllegalArgumentException("value of " + value.section() + " under key of " + key.section());
        }
    }

    /**
     * Creates an entry whose section is that of its value.
     *
     * @param name the name within the section, neither null nor empty.
     * @param writer the node that writes the entry, not null.
     * @param version the version, not null.
     * @param value the content, not null.
     * @return the entry, never null.
     */
    public static Entry of(final String name, final String writer, final EntryVersion version, final EntryValue value) {
        return new Entry(EntryKey.of(value.section(), name), writer, version, value);
    }
}
