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
 * Keeps the roster of a home group in the store: creates the first one, and removes or adds one guard at a time. Runs
 * on each node of the group; the store's compare-and-swap decides between nodes that act at the same time.
 *
 * <p>Confined to one thread, which the store may block. Invariant: a roster is proposed only by a node of the group,
 * and only after a majority of the roster before it has adopted that one.
 */
public final class RosterController implements Controller {

    /** Time between reads of the store by a guard; it bounds how long a guard can miss a new epoch when alone. */
    private static final long READ_INTERVAL_MS = 15_000;

    /** Time between reads while no roster is known. */
    private static final long SEARCH_INTERVAL_MS = 1_000;

    /** Longest pause after a failed call, drawn at random so that nodes do not come back together. */
    private static final int RETRY_SPREAD_MS = 4_000;

    /** Longest delay of the first read after the start, drawn at random for the same reason. */
    private static final int START_SPREAD_MS = 1_000;

    /** How long the store must have been seen empty before the first roster is written, so that others see it too. */
    private static final long FOUND_AFTER_MS = 4_000;

    private static final long NEVER_MS = Long.MIN_VALUE;

    private final String node;
    private final GuardState standing;
    private final RosterRegistry register;
    private final Supplier<List<String>> candidates;
    private final Clock clock;
    private final ClaimTiming timing;
    private final int rosterSize;
    private final Set<ClaimRule> rules;
    private final RandomGenerator random;
    private final ClaimKey groupKey;
    private long readMs = NEVER_MS;
    private long emptySinceMs = NEVER_MS;
    private long retryMs;

    /**
     * Creates a controller.
     *
     * @param node the name of this node, not null.
     * @param standing the node's standing in the group, not null.
     * @param register the rosters in the store, not null.
     * @param candidates names of the nodes of the group that are alive, this one included, not null.
     * @param clock the time, not null.
     * @param timing the times, not null.
     * @param rosterSize how many guards the group should have, positive.
     * @param rules the rules that are on, not null.
     * @param random the source of chance, not null.
     */
    public RosterController(
            final String node,
            final GuardState standing,
            final RosterRegistry register,
            final Supplier<List<String>> candidates,
            final Clock clock,
            final ClaimTiming timing,
            final int rosterSize,
            final Set<ClaimRule> rules,
            final RandomGenerator random) {
        if (rosterSize < 1) {
            throw new IllegalArgumentException("rosterSize must be positive: " + rosterSize);
        }
        this.node = Objects.requireNonNull(node, "node");
        this.standing = Objects.requireNonNull(standing, "standing");
        this.register = Objects.requireNonNull(register, "register");
        this.candidates = Objects.requireNonNull(candidates, "candidates");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timing = Objects.requireNonNull(timing, "timing");
        this.rosterSize = rosterSize;
        this.rules = Set.copyOf(rules);
        this.random = Objects.requireNonNull(random, "random");
        this.groupKey = ClaimKey.digest(standing.group());
        this.retryMs = clock.nowMs() + random.nextInt(START_SPREAD_MS);
    }

    @Override
    public void tick() {
        if (clock.nowMs() < retryMs) {
            return;
        }
        try {
            if (mustRead()) {
                read();
            }
            propose();
        } catch (StoreException exception) {
            retryMs = clock.nowMs() + 1 + random.nextInt(RETRY_SPREAD_MS);
            readMs = NEVER_MS;
        }
    }

    private boolean mustRead() {
        long sinceMs = readMs == NEVER_MS ? Long.MAX_VALUE : clock.nowMs() - readMs;
        if (standing.epoch() == 0) {
            return sinceMs >= SEARCH_INTERVAL_MS && preferred().contains(node);
        }
        return standing.isGuard() && sinceMs >= READ_INTERVAL_MS;
    }

    private void read() throws StoreException {
        Optional<Roster> roster = register.read(standing.group());
        standing.storeRead(roster);
        readMs = clock.nowMs();
        if (roster.isPresent()) {
            emptySinceMs = NEVER_MS;
        } else if (emptySinceMs == NEVER_MS) {
            emptySinceMs = readMs;
        }
    }

    private void propose() throws StoreException {
        Optional<Roster> present = standing.roster();
        if (present.isEmpty()) {
            found();
            return;
        }
        if (standing.isGuard() && mayPropose(present.get())) {
            Optional<Roster> next = next(present.get());
            if (next.isPresent()) {
                write(next.get());
            }
        }
    }

    private void found() throws StoreException {
        List<String> guards = preferred();
        boolean mayFound = emptySinceMs != NEVER_MS && clock.nowMs() - emptySinceMs >= FOUND_AFTER_MS;
        if (mayFound && !guards.isEmpty() && guards.get(0).equals(node)) {
            write(new Roster(standing.group(), 1, guards));
        }
    }

    private void write(final Roster roster) throws StoreException {
        if (register.replace(roster)) {
            standing.adopt(roster);
        } else {
            read();
        }
    }

    private boolean mayPropose(final Roster roster) {
        if (!rules.contains(ClaimRule.SETTLED_EPOCH)) {
            return true;
        }
        boolean pair = roster.guards().size() == 2;
        return standing.isConfirmed() && standing.isSettled() && (pair || standing.isHeard()) && isFirst(roster);
    }

    /** One guard proposes at a time where that is easy, to spare the store; nothing depends on it. */
    private boolean isFirst(final Roster roster) {
        return roster.guards().stream()
                .filter(guard -> standing.silentMs(guard) <= timing.fenceMs())
                .min(String::compareTo)
                .map(node::equals)
                .orElse(false);
    }

    private Optional<Roster> next(final Roster roster) {
        List<String> guards = new ArrayList<>(roster.guards());
        List<String> spares = spares(roster);
        List<String> gone = guards.stream()
                .filter(guard -> standing.silentMs(guard) > timing.replaceAfterMs())
                .toList();
        boolean single = rules.contains(ClaimRule.SINGLE_CHANGE);
        if (!gone.isEmpty() && (!spares.isEmpty() || isRemovalUseful(guards.size()))) {
            guards.removeAll(single ? gone.subList(0, 1) : gone);
        }
        if (!single || guards.size() == roster.guards().size()) {
            int room = Math.max(0, rosterSize - guards.size());
            spares.stream().limit(single ? Math.min(1, room) : room).forEach(guards::add);
        }
        return guards.equals(roster.guards())
                ? Optional.empty()
                : Optional.of(new Roster(roster.group(), roster.epoch() + 1, guards));
    }

    /** Without a spare, removal helps where others of the roster can step in, or where one is left of two. */
    private static boolean isRemovalUseful(final int size) {
        return size > GuardState.GUARDS_PER_KEY || size == 2;
    }

    private List<String> spares(final Roster roster) {
        List<String> alive = candidates.get().stream()
                .filter(candidate -> !roster.guards().contains(candidate))
                .toList();
        return RendezvousHash.first(groupKey, alive, rosterSize);
    }

    private List<String> preferred() {
        return RendezvousHash.first(groupKey, candidates.get(), rosterSize);
    }
}
