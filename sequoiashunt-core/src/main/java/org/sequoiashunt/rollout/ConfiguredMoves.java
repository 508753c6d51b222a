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
 * Lists the services whose accepted configuration has a move, which is a planned shift of a service's requests from
 * its old version to a new one.
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
        SortedMap<String, ServiceConfiguration> services = new TreeMap<>();
        Optional<ConfigurationHead> head =
                blackboard.value(Section.CONFIGURATION_HEAD, ConfigurationHead.NAME, ConfigurationHead.class);
        head.ifPresent(presentHead -> presentHead.parts().values().forEach(digest -> addIfMoving(services, digest)));
        return services;
    }

    private void addIfMoving(final SortedMap<String, ServiceConfiguration> services, final String digest) {
        blackboard
                .value(Section.CONFIGURATION_PART, digest, ServiceConfiguration.class)
                .filter(configuration -> configuration.move().isPresent())
                .ifPresent(configuration -> services.put(configuration.service(), configuration));
    }
}
