package org.sequoiashunt.node;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.sequoiashunt.configuration.ConfigurationSnapshot;
import org.sequoiashunt.execution.HomeGroupSource;

/**
 * Home groups by the configuration in force, derived once for each version.
 *
 * <p>Thread-safe: what was derived is an immutable value behind one reference.
 */
final class ConfiguredHomeGroups implements HomeGroupSource {

    private final Supplier<Optional<ConfigurationSnapshot>> inForce;
    private volatile DerivedGroups derived = new DerivedGroups(Optional.empty(), Map.of());

    ConfiguredHomeGroups(final Supplier<Optional<ConfigurationSnapshot>> inForce) {
        this.inForce = Objects.requireNonNull(inForce, "inForce");
    }

    @Override
    public Map<String, HomeGroupLists> homeGroups() {
        Optional<ConfigurationSnapshot> present = inForce.get();
        DerivedGroups known = derived;
        if (known.isOf(present)) {
            return known.groups();
        }
        Map<String, HomeGroupLists> groups = new TreeMap<>();
        present.ifPresent(snapshot -> snapshot.services()
                .forEach((service, configuration) -> groups.put(
                        service, new HomeGroupLists(configuration.homeGroups(), configuration.formerHomeGroups()))));
        derived = new DerivedGroups(present, groups);
        return groups;
    }

    /** Lists of one version. Never changed after publication. */
    private record DerivedGroups(Optional<ConfigurationSnapshot> snapshot, Map<String, HomeGroupLists> groups) {

        private boolean isOf(final Optional<ConfigurationSnapshot> present) {
            return snapshot.orElse(null) == present.orElse(null);
        }
    }
}
