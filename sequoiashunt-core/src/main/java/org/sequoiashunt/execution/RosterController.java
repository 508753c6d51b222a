package org.sequoiashunt.execution;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.time.Clock;

/**
 * Maintains the roster of a home group in the store: creates the first roster, and removes or adds one guard at a time.
 * Runs on each node of the group; if several nodes write at the same time, the store's compare-and-swap accepts one.
 *
 * <p>Not thread-safe: confined to one thread, which the store may block. Invariant: only a node of the group proposes a
 * roster, and only after a majority of the previous roster has adopted the previous roster.
 */
public final class RosterController implements Controller {

    /** Interval between reads of the store by a guard; limits how long a partitioned guard can miss a new epoch. */
    private static final long READ_INTERVAL_MS = 15_000;

    /** Interval between reads of the store until a roster has been adopted. */
    private static final long INITIAL_READ_INTERVAL_MS = 1_000;

    /** Longest delay after a failed store call; the delay is random, so that nodes do not retry at the same time. */
    private static final int MAXIMUM_RETRY_DELAY_MS = 4_000;

    /** Longest delay of the first read after the start; the delay is random, so that nodes do not read together. */
    private static final int MAXIMUM_START_DELAY_MS = 1_000;

    /**
     * How long the store must be empty before the first roster is written, so that other nodes see it empty as well.
     */
    private static final long EMPTY_STORE_WAIT_MS = 4_000;

    private static final long NEVER_MS = Long.MIN_VALUE;

    private final String node;
    private final GuardState state;
    private final RosterRegistry registry;
    private final Supplier<List<String>> candidates;
    private final Clock clock;
    private final ClaimTiming timing;
    private final int rosterSize;
    private final Set<ClaimRule> rules;
    private final RandomGenerator random;
    private final ClaimKey groupKey;
    private long lastReadMs = NEVER_MS;
    private long emptySinceMs = NEVER_MS;
    private long nextTickMs;

    /**
     * Creates a controller.
     *
     * @param node the name of this node, not null.
     * @param state the node's state as a guard of the group, not null.
     * @param registry reads and writes the rosters in the store, not null.
     * @param candidates returns the names of the nodes of the group that are alive, this node included, not null.
     * @param clock the local clock, not null.
     * @param timing the time limits of claims, not null.
     * @param rosterSize how many guards the group should have, positive.
     * @param rules the rules in force, not null.
     * @param random the random source of the delays, not null.
     * @throws IllegalArgumentException if the roster size is not positive.
     */
    public RosterController(
            final String node,
            final GuardState state,
            final RosterRegistry registry,
            final Supplier<List<String>> candidates,
            final Clock clock,
            final ClaimTiming timing,
            final int rosterSize,
            final Set<ClaimRule> rules,
            final RandomGenerator random) {
        if (rosterSize < 1) {
            throw new IllegalArgumentException("roster controller: rosterSize must be positive: " + rosterSize);
        }
        this.node = Objects.requireNonNull(node, "node");
        this.state = Objects.requireNonNull(state, "state");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.candidates = Objects.requireNonNull(candidates, "candidates");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timing = Objects.requireNonNull(timing, "timing");
        this.rosterSize = rosterSize;
        this.rules = Set.copyOf(rules);
        this.random = Objects.requireNonNull(random, "random");
        this.groupKey = ClaimKey.digest(state.group());
        this.nextTickMs = clock.nowMs() + random.nextInt(MAXIMUM_START_DELAY_MS);
    }

    @Override
    public void tick() {
        if (clock.nowMs() < nextTickMs) {
            return;
        }
        try {
            if (isReadDue()) {
                read();
            }
            proposeRoster();
        } catch (StoreException exception) {
            nextTickMs = clock.nowMs() + 1 + random.nextInt(MAXIMUM_RETRY_DELAY_MS);
            lastReadMs = NEVER_MS;
        }
    }

    private boolean isReadDue() {
        long sinceMs = lastReadMs == NEVER_MS ? Long.MAX_VALUE : clock.nowMs() - lastReadMs;
        if (state.epoch() == 0) {
            return sinceMs >= INITIAL_READ_INTERVAL_MS && preferredGuards().contains(node);
        }
        return state.isGuard() && sinceMs >= READ_INTERVAL_MS;
    }

    private void read() throws StoreException {
        Optional<Roster> roster = registry.read(state.group());
        state.recordStoreRead(roster);
        lastReadMs = clock.nowMs();
        if (roster.isPresent()) {
            emptySinceMs = NEVER_MS;
        } else if (emptySinceMs == NEVER_MS) {
            emptySinceMs = lastReadMs;
        }
    }

    private void proposeRoster() throws StoreException {
        Optional<Roster> current = state.roster();
        if (current.isEmpty()) {
            proposeFirstRoster();
            return;
        }
        if (state.isGuard() && mayPropose(current.get())) {
            Optional<Roster> next = nextRoster(current.get());
            if (next.isPresent()) {
                write(next.get());
            }
        }
    }

    private void proposeFirstRoster() throws StoreException {
        List<String> guards = preferredGuards();
        boolean mayPropose = emptySinceMs != NEVER_MS && clock.nowMs() - emptySinceMs >= EMPTY_STORE_WAIT_MS;
        if (mayPropose && !guards.isEmpty() && guards.get(0).equals(node)) {
            write(new Roster(state.group(), 1, guards));
        }
    }

    private void write(final Roster roster) throws StoreException {
        if (registry.replace(roster)) {
            state.adopt(roster);
        } else {
            read();
        }
    }

    private boolean mayPropose(final Roster roster) {
        if (!rules.contains(ClaimRule.SETTLED_EPOCH)) {
            return true;
        }
        boolean hasTwoGuards = roster.guards().size() == 2;
        return state.isStartConfirmed()
                && state.isAdoptedByMajority()
                && (hasTwoGuards || state.hasReachableMajority())
                && isPreferredProposer(roster);
    }

    /** Selects one reachable guard to propose, which saves store calls; correctness does not depend on it. */
    private boolean isPreferredProposer(final Roster roster) {
        return roster.guards().stream()
                .filter(guard -> state.unreachableMs(guard) <= timing.fenceMs())
                .min(String::compareTo)
                .map(node::equals)
                .orElse(false);
    }

    private Optional<Roster> nextRoster(final Roster roster) {
        List<String> guards = new ArrayList<>(roster.guards());
        List<String> spares = spareCandidates(roster);
        List<String> unreachable = guards.stream()
                .filter(guard -> state.unreachableMs(guard) > timing.replaceAfterMs())
                .toList();
        boolean singleChange = rules.contains(ClaimRule.SINGLE_CHANGE);
        if (!unreachable.isEmpty() && (!spares.isEmpty() || isRemovalUseful(guards.size()))) {
            guards.removeAll(singleChange ? unreachable.subList(0, 1) : unreachable);
        }
        if (!singleChange || guards.size() == roster.guards().size()) {
            int vacancies = Math.max(0, rosterSize - guards.size());
            spares.stream()
                    .limit(singleChange ? Math.min(1, vacancies) : vacancies)
                    .forEach(guards::add);
        }
        return guards.equals(roster.guards())
                ? Optional.empty()
                : Optional.of(new Roster(roster.group(), roster.epoch() + 1, guards));
    }

    /**
     * Returns whether to remove a guard for which there is no replacement: if other guards of the roster can take over
     * its keys, or if one guard of two remains, which can then form a majority alone.
     */
    private static boolean isRemovalUseful(final int size) {
        return size > GuardState.GUARDS_PER_KEY || size == 2;
    }

    private List<String> spareCandidates(final Roster roster) {
        List<String> alive = candidates.get().stream()
                .filter(candidate -> !roster.guards().contains(candidate))
                .toList();
        return RendezvousHash.topRanked(groupKey, alive, rosterSize);
    }

    private List<String> preferredGuards() {
        return RendezvousHash.topRanked(groupKey, candidates.get(), rosterSize);
    }
}
