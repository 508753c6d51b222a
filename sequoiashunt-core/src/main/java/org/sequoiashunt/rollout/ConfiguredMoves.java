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
    private SortedMap<String, ServiceConfiguration> movingServices = Collections.emptySortedMap();
    private long lastHeadChangeCount = -1;
    private long lastPartChangeCount = -1;

    private ConfiguredMoves(final Blackboard blackboard) {
        this.blackboard = blackboard;
    }

    /**
     * Creates a list of the configured moves.
     *
     * @param blackboard the blackboard to read, not null.
     * @return the configured moves, never null.
     */
    public static ConfiguredMoves of(final Blackboard blackboard) {
        return new ConfiguredMoves(Objects.requireNonNull(blackboard, "blackboard"));
    }

    /**
     * Returns the services with a move.
     *
     * @return an unmodifiable map from the name of the service to its configuration, empty if no service has a move.
     */
    public synchronized SortedMap<String, ServiceConfiguration> movingServices() {
        long headChangeCount = blackboard.changeCount(Section.CONFIGURATION_HEAD);
        long partChangeCount = blackboard.changeCount(Section.CONFIGURATION_PART);
        if (headChangeCount != lastHeadChangeCount || partChangeCount != lastPartChangeCount) {
            movingServices = Collections.unmodifiableSortedMap(readMovingServices());
            lastHeadChangeCount = headChangeCount;
            lastPartChangeCount = partChangeCount;
        }
        return movingServices;
    }

    private SortedMap<String, ServiceConfiguration> readMovingServices() {
        SortedMap<String, ServiceConfiguration> derived = new TreeMap<>();
        Optional<ConfigurationHead> head =
                blackboard.value(Section.CONFIGURATION_HEAD, ConfigurationHead.NAME, ConfigurationHead.class);
        head.ifPresent(present -> present.parts().values().forEach(digest -> addIfMoving(derived, digest)));
        return derived;
    }

    private void addIfMoving(final SortedMap<String, ServiceConfiguration> services, final String digest) {
        blackboard
                .value(Section.CONFIGURATION_PART, digest, ServiceConfiguration.class)
                .filter(part -> part.move().isPresent())
                .ifPresent(part -> services.put(part.service(), part));
    }
}
