package org.sequoiashunt.blackboard;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Local replica of everything that nodes share. Controllers read it and write to it; replication merges what peers
 * send.
 *
 * <p>Merging is idempotent, commutative and associative: of two entries with one key the higher version wins, and equal
 * versions are decided by writer, so that the order, repetition or crossing of updates never matters.
 *
 * <p>Thread-safe: each section is a shard under its own lock. Listeners are called outside the locks, on the thread
 * that merged the entry. Invariant: the version of a key never decreases until the key is removed.
 */
public final class Blackboard {

    private final Map<Section, Shard> shards = new EnumMap<>(Section.class);
    private final List<BlackboardListener> listeners = new CopyOnWriteArrayList<>();

    /** Creates an empty blackboard. */
    public Blackboard() {
        for (Section section : Section.values()) {
            shards.put(section, new Shard());
        }
    }

    /**
     * Adds a listener that is called for each accepted entry.
     *
     * @param listener the listener, not null.
     */
    public void addListener(final BlackboardListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Merges an entry.
     *
     * @param entry the entry, not null.
     * @return true if the entry replaced an older one or was new, false if it was ignored.
     */
    public boolean merge(final Entry entry) {
        Objects.requireNonNull(entry, "entry");
        boolean accepted = shards.get(entry.key().section()).merge(entry);
        if (accepted) {
            listeners.forEach(listener -> listener.entryAccepted(entry));
        }
        return accepted;
    }

    /**
     * Finds an entry.
     *
     * @param key the key, not null.
     * @return the entry, or empty if the key is unknown.
     */
    public Optional<Entry> find(final EntryKey key) {
        Objects.requireNonNull(key, "key");
        return shards.get(key.section()).find(key.name());
    }

    /**
     * Finds a value of a known type.
     *
     * @param <T> the type of the value.
     * @param section the section, not null.
     * @param name the name within the section, not null.
     * @param type the class of the value, not null.
     * @return the value, or empty if the key is unknown.
     * @throws ClassCastException if the value has another type.
     */
    public <T extends EntryValue> Optional<T> value(final Section section, final String name, final Class<T> type) {
        return find(EntryKey.of(section, name)).map(entry -> type.cast(entry.value()));
    }

    /**
     * Lists a section.
     *
     * @param section the section, not null.
     * @return a snapshot of its entries, ordered by name.
     */
    public List<Entry> entries(final Section section) {
        return shards.get(Objects.requireNonNull(section, "section")).snapshot();
    }

    /**
     * Lists the values of a section.
     *
     * @param <T> the type of the values.
     * @param section the section, not null.
     * @param type the class of the values, not null.
     * @return a snapshot of its values, ordered by name.
     * @throws ClassCastException if a value has another type.
     */
    public <T extends EntryValue> List<T> values(final Section section, final Class<T> type) {
        return entries(section).stream().map(entry -> type.cast(entry.value())).toList();
    }

    /**
     * Removes an entry, but only if it still has the version given.
     *
     * @param key the key, not null.
     * @param version the version that may be removed, not null.
     * @return true if the entry was removed.
     */
    public boolean remove(final EntryKey key, final EntryVersion version) {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(version, "version");
        return shards.get(key.section()).remove(key.name(), version);
    }

    /**
     * Returns a number that changes whenever the section changes, so that readers can cache results derived from it.
     *
     * @param section the section, not null.
     * @return the number of changes so far.
     */
    public long changeCount(final Section section) {
        return shards.get(Objects.requireNonNull(section, "section")).changes.get();
    }

    /** Entries of one section. Thread-safe: guarded by its own monitor. */
    private static final class Shard {

        private final Map<String, Entry> entries = new TreeMap<>();
        private final AtomicLong changes = new AtomicLong();

        private synchronized boolean merge(final Entry entry) {
            Entry present = entries.get(entry.key().name());
            if (present != null && !replaces(entry, present)) {
                return false;
            }
            entries.put(entry.key().name(), entry);
            changes.incrementAndGet();
            return true;
        }

        private static boolean replaces(final Entry entry, final Entry present) {
            int order = entry.version().compareTo(present.version());
            return order > 0 || order == 0 && entry.writer().compareTo(present.writer()) > 0;
        }

        private synchronized Optional<Entry> find(final String name) {
            return Optional.ofNullable(entries.get(name));
        }

        private synchronized List<Entry> snapshot() {
            return new ArrayList<>(entries.values());
        }

        private synchronized boolean remove(final String name, final EntryVersion version) {
            Entry present = entries.get(name);
            if (present == null || !present.version().equals(version)) {
                return false;
            }
            entries.remove(name);
            changes.incrementAndGet();
            return true;
        }
    }
}
