package org.sequoiashunt.replication;

import java.util.Objects;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryVersion;

/**
 * Key and version of an entry, without its content.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the key.
 * @param version the version.
 * @param writer the writer, which decides between equal versions.
 */
public record EntryStamp(EntryKey key, EntryVersion version, String writer) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public EntryStamp {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(writer, "writer");
    }

    /**
     * Returns the stamp of an entry.
     *
     * @param entry the entry, not null.
     * @return its stamp, never null.
     */
    public static EntryStamp of(final Entry entry) {
        return new EntryStamp(entry.key(), entry.version(), entry.writer());
    }

    /**
     * Tells whether the entry of this stamp would replace another one under the same key.
     *
     * @param other the entry to compare with, not null.
     * @return true if this stamp is the newer one.
     */
    public boolean isNewerThan(final Entry other) {
        return isNewerThan(of(other));
    }

    /**
     * Tells whether the entry of this stamp would replace that of another stamp of the same key.
     *
     * @param other the stamp to compare with, not null.
     * @return true if this stamp is the newer one.
     */
    public boolean isNewerThan(final EntryStamp other) {
        int order = version.compareTo(other.version);
        return order > 0 || order == 0 && writer.compareTo(other.writer) > 0;
    }
}
