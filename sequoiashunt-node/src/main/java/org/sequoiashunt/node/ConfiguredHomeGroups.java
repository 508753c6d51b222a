package org.sequoiashunt.node;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.sequoiashunt.configuration.ConfigurationSnapshot;
import org.sequoiashunt.execution.HomeGroupSource;

/**
 * Returns the home groups of the configuration in force, derived once for each version.
 *
 * <p>Thread-safe: the cached groups are an immutable value behind one volatile reference.
 */
final class ConfiguredHomeGroups implements HomeGroupSource {

    private final Supplier<Optional<ConfigurationSnapshot>> configurationInForce;
    private volatile DerivedGroups cached = new DerivedGroups(Optional.empty(), Map.of());

    ConfiguredHomeGroups(final Supplier<Optional<ConfigurationSnapshot>> configurationInForce) {
        this.configurationInForce = Objects.requireNonNull(configurationInForce, "configurationInForce");
    }

    @Override
    public Map<String, HomeGroupLists> homeGroups() {
        Optional<ConfigurationSnapshot> current = configurationInForce.get();
        DerivedGroups previous = cached;
        if (previous.isDerivedFrom(current)) {
            return previous.groups();
        }
        Map<String, HomeGroupLists> groups = new TreeMap<>();
        current.ifPresent(snapshot -> snapshot.services()
                .forEach((service, configuration) -> groups.put(
                        service, new HomeGroupLists(configuration.homeGroups(), configuration.formerHomeGroups()))));
        cached = new DerivedGroups(current, groups);
        return groups;
    }

    /** Home groups of one configuration snapshot. Not modified after publication. */
    private record DerivedGroups(Optional<ConfigurationSnapshot> snapshot, Map<String, HomeGroupLists> groups) {

        private boolean isDerivedFrom(final Optional<ConfigurationSnapshot> current) {
            return snapshot.orElse(null) == current.orElse(null);
        }
    }
}
