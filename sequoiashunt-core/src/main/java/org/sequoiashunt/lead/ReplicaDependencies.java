package org.sequoiashunt.lead;

import java.util.Objects;
import org.sequoiashunt.configuration.ConfigurationSource;
import org.sequoiashunt.membership.DomainRegistry;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.time.Clock;

/**
 * External services that a {@link ReplicaNode} uses. Immutable and thread-safe.
 *
 * @param clock the clock.
 * @param sender sends to other nodes.
 * @param store the platform's store.
 * @param registry the summaries of failure domains in the store.
 * @param source the committed configuration in the store.
 */
public record ReplicaDependencies(
        Clock clock, PeerSender sender, Store store, DomainRegistry registry, ConfigurationSource source) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public ReplicaDependencies {
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(registry, "registry");
        Objects.requireNonNull(source, "source");
    }
}
