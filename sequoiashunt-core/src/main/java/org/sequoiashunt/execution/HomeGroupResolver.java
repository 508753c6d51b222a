package org.sequoiashunt.execution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.sequoiashunt.execution.HomeGroupSource.HomeGroupLists;
import org.sequoiashunt.time.Clock;

/**
 * Resolves the home group of a key, and its former home groups while guards there may still retain claims.
 *
 * <p>A key of the form {@code <group>:<rest>} belongs to that group if the service lists it. Any other key belongs
 * to the group that a rendezvous hash selects from the listed groups. Former groups are those that the configuration
 * names, and those that this node saw in force within the retention window. The latter alone are not enough, since a
 * node that has just started has seen none.
 *
 * <p>Call {@link #refresh()} several times a second. Thread-safe: guarded by its own monitor.
 */
public final class HomeGroupResolver {

    private final HomeGroupSource source;
    private final Clock clock;
    private final long retentionMs;
    private final boolean includesFormerGroups;
    private final Map<String, List<EffectiveGroups>> histories = new HashMap<>();

    /**
     * Creates a resolver that has seen no home groups yet.
     *
     * @param source the home groups in force, not null.
     * @param clock the local clock, not null.
     * @param timing the time limits of claims, of which only the retention window is used, not null.
     * @param rules the rules in force, not null.
     */
    public HomeGroupResolver(
            final HomeGroupSource source, final Clock clock, final ClaimTiming timing, final Set<ClaimRule> rules) {
        this.source = Objects.requireNonNull(source, "source");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.retentionMs = timing.retentionMs();
        this.includesFormerGroups = rules.contains(ClaimRule.BOTH_HOMES);
    }

    /** Records the home groups that are in force now. */
    public synchronized void refresh() {
        long nowMs = clock.nowMs();
        source.homeGroups().forEach((service, lists) -> recordGroups(service, lists.current(), nowMs));
    }

    /**
     * Resolves the home groups whose guards must grant a claim.
     *
     * @param service the service called, not null.
     * @param key the caller's idempotency key, not null.
     * @return the current home group, followed by former ones, without duplicates; empty if the service lists no home
     *     group.
     */
    public synchronized List<String> resolve(final String service, final String key) {
        HomeGroupLists lists = source.homeGroups().get(service);
        if (lists == null || lists.current().isEmpty()) {
            return List.of();
        }
        Set<String> homeGroups = new LinkedHashSet<>();
        homeGroups.add(homeGroup(lists.current(), service, key));
        if (includesFormerGroups) {
            List<List<String>> formerLists = new ArrayList<>(List.of(lists.former()));
            histories.getOrDefault(service, List.of()).forEach(past -> formerLists.add(past.groups));
            formerLists.stream()
                    .filter(groups -> !groups.isEmpty())
                    .forEach(groups -> homeGroups.add(homeGroup(groups, service, key)));
        }
        return List.copyOf(homeGroups);
    }

    private void recordGroups(final String service, final List<String> groups, final long nowMs) {
        List<EffectiveGroups> history = histories.computeIfAbsent(service, name -> new ArrayList<>());
        if (history.isEmpty() || !history.get(history.size() - 1).groups.equals(groups)) {
            history.add(new EffectiveGroups(groups, nowMs));
        }
        while (history.size() > 1 && nowMs - history.get(1).sinceMs >= retentionMs) {
            history.remove(0);
        }
    }

    private static String homeGroup(final List<String> groups, final String service, final String key) {
        int colon = key.indexOf(':');
        if (colon > 0 && groups.contains(key.substring(0, colon))) {
            return key.substring(0, colon);
        }
        return RendezvousHash.topRanked(ClaimKey.of(service, key), groups, 1).get(0);
    }

    /** Home groups of a service with the time at which this node first saw them in force. Immutable. */
    private record EffectiveGroups(List<String> groups, long sinceMs) {}
}
