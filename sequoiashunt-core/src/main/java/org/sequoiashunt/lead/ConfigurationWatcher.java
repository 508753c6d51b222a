package org.sequoiashunt.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.ConfigurationSnapshot;
import org.sequoiashunt.configuration.ConfigurationSource;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.time.Clock;

/**
 * Watches the head of the configuration in the store while this node is the lead, and puts each new version on the
 * blackboard: parts first, head last. A version that fails its checks stays off the blackboard, so that nodes that
 * start later still find the one before it.
 *
 * <p>{@link #step()} is confined to a thread of its own, since it waits for the store; the other methods are
 * thread-safe. Two watchers at once do no harm: the entries that they write are equal.
 */
public final class ConfigurationWatcher implements BlockingTask {

    /** Writer of the entries: the same for every lead, so that what several leads write is equal. */
    public static final String WRITER = "store";

    private static final long WATCH_MS = 10_000;
    private static final long IDLE_MS = 200;
    private static final long BACKOFF_BASE_MS = 200;
    private static final long BACKOFF_MAXIMUM_MS = 2_000;

    private final ConfigurationSource source;
    private final Blackboard blackboard;
    private final Clock clock;
    private final BooleanSupplier lead;
    private final Backoff backoff;
    private volatile Reading reading = new Reading(Long.MIN_VALUE, 0, "");
    private long knownRevision;

    /**
     * Creates a watcher.
     *
     * @param source reads the committed configuration, not null.
     * @param blackboard the node's blackboard, not null.
     * @param clock the clock, not null.
     * @param lead tells whether this node is the lead now, not null.
     * @param random the source of chance, not null; used by this object's thread alone.
     */
    public ConfigurationWatcher(
            final ConfigurationSource source,
            final Blackboard blackboard,
            final Clock clock,
            final BooleanSupplier lead,
            final RandomGenerator random) {
        this.source = Objects.requireNonNull(source, "source");
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.lead = Objects.requireNonNull(lead, "lead");
        this.backoff = new Backoff(BACKOFF_BASE_MS, BACKOFF_MAXIMUM_MS, random);
    }

    /**
     * Returns what the store last answered.
     *
     * @return the reading, never null; its time is {@link Long#MIN_VALUE} before the first answer.
     */
    public Reading reading() {
        return reading;
    }

    @Override
    public long step() {
        if (!lead.getAsBoolean()) {
            return IDLE_MS;
        }
        boolean first = reading.atMs() == Long.MIN_VALUE;
        long sentMs = clock.nowMs();
        try {
            Optional<ConfigurationSource.RevisedHead> head = source.awaitHead(knownRevision, first ? 0 : WATCH_MS);
            if (head.isPresent()) {
                publish(head.get(), sentMs);
            } else {
                reading = new Reading(sentMs, reading.version(), reading.refusal());
            }
            backoff.reset();
            return 0;
        } catch (StoreException exception) {
            return backoff.next();
        } catch (ConfigurationException exception) {
            reading = new Reading(sentMs, reading.version(), exception.getMessage());
            return BACKOFF_MAXIMUM_MS;
        }
    }

    private void publish(final ConfigurationSource.RevisedHead revised, final long sentMs) throws StoreException {
        ConfigurationHead head = revised.head();
        try {
            ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(head, readParts(head));
            merge(snapshot);
            reading = new Reading(sentMs, head.version(), "");
        } catch (ConfigurationException exception) {
            reading = new Reading(sentMs, reading.version(), exception.getMessage());
        }
        knownRevision = revised.revision();
    }

    private Map<String, ServiceConfiguration> readParts(final ConfigurationHead head)
            throws StoreException, ConfigurationException {
        Map<String, ServiceConfiguration> parts = new TreeMap<>();
        for (Map.Entry<String, String> part : head.parts().entrySet()) {
            Optional<Entry> present = blackboard.find(EntryKey.of(Section.CONFIGURATION_PART, part.getValue()));
            ServiceConfiguration configuration = present.isPresent()
                    ? (ServiceConfiguration) present.get().value()
                    : source.readPart(part.getValue());
            parts.put(part.getKey(), configuration);
        }
        return parts;
    }

    private void merge(final ConfigurationSnapshot snapshot) {
        List<Entry> parts = new ArrayList<>();
        ConfigurationHead head = snapshot.head();
        head.parts().forEach((service, digest) -> {
            ServiceConfiguration part = snapshot.services().get(service);
            parts.add(Entry.of(digest, WRITER, EntryVersion.of(1, 0), part));
        });
        parts.forEach(blackboard::merge);
        blackboard.merge(Entry.of(ConfigurationHead.NAME, WRITER, EntryVersion.of(head.version(), 0), head));
        // A part that no head named until now may have been removed in between.
        parts.forEach(blackboard::merge);
    }

    /**
     * What the store last answered. Immutable and thread-safe.
     *
     * @param atMs when the request was sent, in milliseconds since the epoch.
     * @param version the highest version that passed its checks, zero for none.
     * @param refusal why the store's version is refused, empty if it is not.
     */
    public record Reading(long atMs, long version, String refusal) {}
}
