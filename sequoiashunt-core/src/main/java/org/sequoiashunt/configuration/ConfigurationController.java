package org.sequoiashunt.configuration;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.Section;

/**
 * Decides which version of the configuration is in force on this node: the highest head on the blackboard whose parts
 * are all present and whose references are valid. If a version fails a check, its refusal is recorded with the reason,
 * and the previous version stays in force.
 *
 * <p>{@link #tick()} is confined to one thread; the other methods are thread-safe. Invariant: the version in force
 * never decreases and is always put in force as a whole.
 */
public final class ConfigurationController implements Controller {

    private final Blackboard blackboard;
    private final ConfigurationApplier applier;
    private final AtomicReference<ConfigurationSnapshot> inForce = new AtomicReference<>();
    private final AtomicReference<Refusal> refusal = new AtomicReference<>();
    private long processedChangeCount = -1;

    /**
     * Creates a controller with no version in force.
     *
     * @param blackboard the node's blackboard, not null.
     * @param applier puts a version in force, not null; called on the thread that calls {@link #tick()}.
     */
    public ConfigurationController(final Blackboard blackboard, final ConfigurationApplier applier) {
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.applier = Objects.requireNonNull(applier, "applier");
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty if none has been put in force yet.
     */
    public Optional<ConfigurationSnapshot> inForce() {
        return Optional.ofNullable(inForce.get());
    }

    /**
     * Returns the version in force.
     *
     * @return the version, zero for none.
     */
    public long versionInForce() {
        ConfigurationSnapshot snapshot = inForce.get();
        return snapshot == null ? 0 : snapshot.head().version();
    }

    /**
     * Returns why a version higher than the version in force was refused.
     *
     * @return the reason, or an empty string if no such version was refused.
     */
    public String refusal() {
        Refusal current = refusal.get();
        return current == null ? "" : current.reason();
    }

    @Override
    public void tick() {
        long changeCount =
                blackboard.changeCount(Section.CONFIGURATION_HEAD) + blackboard.changeCount(Section.CONFIGURATION_PART);
        if (changeCount == processedChangeCount) {
            return;
        }
        processedChangeCount = changeCount;
        blackboard
                .value(Section.CONFIGURATION_HEAD, ConfigurationHead.NAME, ConfigurationHead.class)
                .ifPresent(this::applyIfNewer);
    }

    private void applyIfNewer(final ConfigurationHead head) {
        Refusal previousRefusal = refusal.get();
        if (head.version() <= versionInForce()
                || previousRefusal != null && head.version() <= previousRefusal.version()) {
            return;
        }
        Optional<Map<String, ServiceConfiguration>> parts = findParts(head);
        if (parts.isEmpty()) {
            return;
        }
        try {
            ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(head, parts.get());
            applier.apply(snapshot);
            inForce.set(snapshot);
            refusal.set(null);
        } catch (ConfigurationException exception) {
            refusal.set(new Refusal(head.version(), exception.getMessage()));
        }
    }

    private Optional<Map<String, ServiceConfiguration>> findParts(final ConfigurationHead head) {
        Map<String, ServiceConfiguration> parts = new TreeMap<>();
        for (Map.Entry<String, String> part : head.parts().entrySet()) {
            EntryKey key = EntryKey.of(Section.CONFIGURATION_PART, part.getValue());
            blackboard.find(key).ifPresent(entry -> parts.put(part.getKey(), (ServiceConfiguration) entry.value()));
        }
        return parts.size() == head.parts().size() ? Optional.of(parts) : Optional.empty();
    }

    /** Version that was refused. Immutable and thread-safe. */
    private record Refusal(long version, String reason) {}
}
