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
 * Finds the home group of a key, and its former ones while claims made there are still retained.
 *
 * <p>A key of the form {@code <group>:<rest>} names its group if the service lists that group. Any other key has the
 * group that a rendezvous hash over the listed groups gives. Former groups are those that the configuration names, and
 * those that this node itself saw in force within the retention window; the second kind alone is not enough, since a
 * node that has just started saw none.
 *
 * <p>Call {@link #refresh()} several times a second. Thread-safe: one lock.
 */
public final class HomeGroupResolver {

    private final HomeGroupSource source;
    private final Clock clock;
    private final long retentionMs;
    private final boolean includesFormerGroups;
    private final Map<String, List<EffectiveGroups>> histories = new HashMap<>();

    /**
     * Creates a finder.
     *
     * @param source the lists in force, not null.
     * @param clock the time, not null.
     * @param timing the retention, not null.
     * @param rules the rules that are on, not null.
     */
    public HomeGroupResolver(
            final HomeGroupSource source, final Clock clock, final ClaimTiming timing, final Set<ClaimRule> rules) {
        this.source = Objects.requireNonNull(source, "source");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.retentionMs = timing.retentionMs();
        this.includesFormerGroups = rules.contains(ClaimRule.BOTH_HOMES);
    }

    /** Notes the lists that are in force now. */
    public synchronized void refresh() {
        long nowMs = clock.nowMs();
        source.homeGroups().forEach((service, lists) -> recordGroups(service, lists.current(), nowMs));
    }

    /**
     * Finds the groups to ask.
     *
     * @param service the service called, not null.
     * @param key the caller's key, not null.
     * @return the home group, followed by former ones; empty if the service lists none.
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

    /** List of groups with the time from which it was in force. Immutable. */
    private record EffectiveGroups(List<String> groups, long sinceMs) {}
}
