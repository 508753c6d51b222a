package org.sequoiashunt.rollout;

import java.util.Collections;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Lists the services whose accepted configuration has a move.
 *
 * <p>Thread-safe: the derived map is guarded by this object's monitor and replaced only when the configuration on the
 * blackboard has changed. Invariant: every service listed has a move.
 */
public final class ConfiguredMoves {

    private final Blackboard blackboard;
    private SortedMap<String, ServiceConfiguration> moving = Collections.emptySortedMap();
    private long headChanges = -1;
    private long partChanges = -1;

    private ConfiguredMoves(final Blackboard blackboard) {
        this.blackboard = blackboard;
    }

    /**
     * Creates a reader.
     *
     * @param blackboard the blackboard to read, not null.
     * @return the reader, never null.
     */
    public static ConfiguredMoves of(final Blackboard blackboard) {
        return new ConfiguredMoves(Objects.requireNonNull(blackboard, "blackboard"));
    }

    /**
     * Returns the services with a move.
     *
     * @return an unmodifiable map from the name of the service to its configuration, empty if nothing moves.
     */
    public synchronized SortedMap<String, ServiceConfiguration> moving() {
        long heads = blackboard.changeCount(Section.CONFIGURATION_HEAD);
        long parts = blackboard.changeCount(Section.CONFIGURATION_PART);
        if (heads != headChanges || parts != partChanges) {
            moving = Collections.unmodifiableSortedMap(derive());
            headChanges = heads;
            partChanges = parts;
        }
        return moving;
    }

    private SortedMap<String, ServiceConfiguration> derive() {
        SortedMap<String, ServiceConfiguration> derived = new TreeMap<>();
        Optional<ConfigurationHead> head =
                blackboard.value(Section.CONFIGURATION_HEAD, ConfigurationHead.NAME, ConfigurationHead.class);
        head.ifPresent(present -> present.parts().values().forEach(digest -> addMoving(derived, digest)));
        return derived;
    }

    private void addMoving(final SortedMap<String, ServiceConfiguration> derived, final String digest) {
        blackboard
                .value(Section.CONFIGURATION_PART, digest, ServiceConfiguration.class)
                .filter(part -> part.move().isPresent())
                .ifPresent(part -> derived.put(part.service(), part));
    }
}
