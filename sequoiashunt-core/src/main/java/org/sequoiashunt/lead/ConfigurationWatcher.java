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
 * Watches the head of the configuration in the store while this node is the lead, and merges each new version into the
 * blackboard: parts first, head last. A version that fails validation is not merged, so that nodes that start later
 * still find the previous valid version.
 *
 * <p>{@link #step()} is confined to one dedicated thread, since it blocks on the store; the other methods are
 * thread-safe. Two watchers may run at the same time, since they write equal entries.
 */
public final class ConfigurationWatcher implements BlockingTask {

    /** Writer name of the entries, the same for every lead, so that entries written by several leads are equal. */
    public static final String WRITER = "store";

    private static final long WATCH_TIMEOUT_MS = 10_000;
    private static final long NOT_LEAD_PAUSE_MS = 200;
    private static final long BACKOFF_BASE_MS = 200;
    private static final long BACKOFF_MAXIMUM_MS = 2_000;

    private final ConfigurationSource source;
    private final Blackboard blackboard;
    private final Clock clock;
    private final BooleanSupplier isLead;
    private final Backoff backoff;
    private volatile ReadResult lastReadResult = new ReadResult(Long.MIN_VALUE, 0, "");
    private long lastRevision;

    /**
     * Creates a watcher.
     *
     * @param source reads the committed configuration, not null.
     * @param blackboard the node's blackboard, not null.
     * @param clock the clock, not null.
     * @param isLead returns whether this node is currently the lead, not null.
     * @param random the random number generator, not null; used only by the thread that calls {@link #step()}.
     */
    public ConfigurationWatcher(
            final ConfigurationSource source,
            final Blackboard blackboard,
            final Clock clock,
            final BooleanSupplier isLead,
            final RandomGenerator random) {
        this.source = Objects.requireNonNull(source, "source");
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.isLead = Objects.requireNonNull(isLead, "isLead");
        this.backoff = new Backoff(BACKOFF_BASE_MS, BACKOFF_MAXIMUM_MS, random);
    }

    /**
     * Returns the result of the latest read that the store answered.
     *
     * @return the result, never null; its time is {@link Long#MIN_VALUE} before the first answer.
     */
    public ReadResult lastReadResult() {
        return lastReadResult;
    }

    @Override
    public long step() {
        if (!isLead.getAsBoolean()) {
            return NOT_LEAD_PAUSE_MS;
        }
        boolean firstRead = lastReadResult.requestSentMs() == Long.MIN_VALUE;
        long sentMs = clock.nowMs();
        try {
            Optional<ConfigurationSource.RevisedHead> head =
                    source.awaitHead(lastRevision, firstRead ? 0 : WATCH_TIMEOUT_MS);
            if (head.isPresent()) {
                publish(head.get(), sentMs);
            } else {
                lastReadResult = new ReadResult(sentMs, lastReadResult.version(), lastReadResult.refusal());
            }
            backoff.reset();
            return 0;
        } catch (StoreException exception) {
            return backoff.nextPauseMs();
        } catch (ConfigurationException exception) {
            lastReadResult = new ReadResult(sentMs, lastReadResult.version(), exception.getMessage());
            return BACKOFF_MAXIMUM_MS;
        }
    }

    private void publish(final ConfigurationSource.RevisedHead revised, final long sentMs) throws StoreException {
        ConfigurationHead head = revised.head();
        try {
            ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(head, readParts(head));
            mergeIntoBlackboard(snapshot);
            lastReadResult = new ReadResult(sentMs, head.version(), "");
        } catch (ConfigurationException exception) {
            lastReadResult = new ReadResult(sentMs, lastReadResult.version(), exception.getMessage());
        }
        lastRevision = revised.revision();
    }

    private Map<String, ServiceConfiguration> readParts(final ConfigurationHead head)
            throws StoreException, ConfigurationException {
        Map<String, ServiceConfiguration> parts = new TreeMap<>();
        for (Map.Entry<String, String> part : head.parts().entrySet()) {
            Optional<Entry> cached = blackboard.find(EntryKey.of(Section.CONFIGURATION_PART, part.getValue()));
            ServiceConfiguration configuration =
                    cached.isPresent() ? (ServiceConfiguration) cached.get().value() : source.readPart(part.getValue());
            parts.put(part.getKey(), configuration);
        }
        return parts;
    }

    private void mergeIntoBlackboard(final ConfigurationSnapshot snapshot) {
        List<Entry> parts = new ArrayList<>();
        ConfigurationHead head = snapshot.head();
        head.parts().forEach((service, digest) -> {
            ServiceConfiguration part = snapshot.services().get(service);
            parts.add(Entry.of(digest, WRITER, EntryVersion.of(1, 0), part));
        });
        parts.forEach(blackboard::merge);
        blackboard.merge(Entry.of(ConfigurationHead.NAME, WRITER, EntryVersion.of(head.version(), 0), head));
        // Merged again: before the head was merged, a new part was unreferenced and may have been removed.
        parts.forEach(blackboard::merge);
    }

    /**
     * Result of the latest read that the store answered. Immutable and thread-safe.
     *
     * @param atMs when the request was sent, in milliseconds since the epoch, {@link Long#MIN_VALUE} for none.
     * @param version the latest version that passed validation, zero for none.
     * @param refusal why the version in the store was refused, empty if it was accepted.
     */
    public record ReadResult(long requestSentMs, long version, String refusal) {}
}
