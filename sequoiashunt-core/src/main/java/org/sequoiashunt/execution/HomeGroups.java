package org.sequoiashunt.execution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.sequoiashunt.time.Clock;

/**
 * Finds the home group of a key, and its former ones while claims made there are still retained.
 *
 * <p>A key of the form {@code <group>:<rest>} names its group if the service lists that group. Any other key has the
 * group that a rendezvous hash over the listed groups gives.
 *
 * <p>Call {@link #refresh()} several times a second, so that no list in force is missed. Thread-safe: one lock.
 * Invariant: a list that was in force within the retention window is still asked.
 */
public final class HomeGroups {

    private final HomeGroupSource source;
    private final Clock clock;
    private final long retentionMs;
    private final Set<ClaimRule> rules;
    private final Map<String, List<ListInForce>> histories = new HashMap<>();

    /**
     * Creates a finder.
     *
     * @param source the lists in force, not null.
     * @param clock the time, not null.
     * @param timing the retention, not null.
     * @param rules the rules that are on, not null.
     */
    public HomeGroups(
            final HomeGroupSource source, final Clock clock, final ClaimTiming timing, final Set<ClaimRule> rules) {
        this.source = Objects.requireNonNull(source, "source");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.retentionMs = timing.retentionMs();
        this.rules = Set.copyOf(rules);
    }

    /** Notes the lists that are in force now. */
    public synchronized void refresh() {
        Map<String, List<String>> present = source.homeGroups();
        long nowMs = clock.nowMs();
        present.forEach((service, groups) -> note(service, groups, nowMs));
        histories.keySet().stream()
                .filter(service -> !present.containsKey(service))
                .toList()
                .forEach(service -> note(service, List.of(), nowMs));
        histories
                .values()
                .removeIf(history -> history.size() == 1 && last(history).groups.isEmpty());
    }

    /**
     * Finds the groups to ask.
     *
     * @param service the service called, not null.
     * @param key the caller's key, not null.
     * @return the home group, followed by former ones; empty if the service lists none.
     */
    public synchronized List<String> find(final String service, final String key) {
        refresh();
        List<ListInForce> history = histories.getOrDefault(service, List.of());
        if (history.isEmpty() || last(history).groups.isEmpty()) {
            return List.of();
        }
        Set<String> homes = new LinkedHashSet<>();
        for (int index = history.size() - 1; index >= 0; index--) {
            List<String> groups = history.get(index).groups;
            if (!groups.isEmpty()) {
                homes.add(home(groups, service, key));
            }
        }
        return List.copyOf(homes);
    }

    private void note(final String service, final List<String> groups, final long nowMs) {
        List<ListInForce> history = histories.computeIfAbsent(service, name -> new ArrayList<>());
        if (history.isEmpty() || !last(history).groups.equals(groups)) {
            history.add(new ListInForce(List.copyOf(groups), nowMs));
        }
        long oldestMs = rules.contains(ClaimRule.BOTH_HOMES) ? nowMs - retentionMs : nowMs;
        while (history.size() > 1 && history.get(1).sinceMs <= oldestMs) {
            history.remove(0);
        }
    }

    private static ListInForce last(final List<ListInForce> history) {
        return history.get(history.size() - 1);
    }

    private static String home(final List<String> groups, final String service, final String key) {
        int colon = key.indexOf(':');
        if (colon > 0 && groups.contains(key.substring(0, colon))) {
            return key.substring(0, colon);
        }
        return RendezvousHash.first(ClaimKey.of(service, key), groups, 1).get(0);
    }

    /** List of groups with the time from which it was in force. Immutable. */
    private record ListInForce(List<String> groups, long sinceMs) {}
}
