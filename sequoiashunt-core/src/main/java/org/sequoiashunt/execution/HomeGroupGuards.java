package org.sequoiashunt.execution;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.time.Clock;

/**
 * The guards of a node in all home groups that hold its failure domain, following the configuration.
 *
 * <p>{@link #tick()} and {@link #receive} belong to the control thread, {@link #step()} to a thread that may block on
 * the store. A guard once created stays for the life of the process: its history must outlast a change of the
 * configuration.
 *
 * <p>Thread-safe: the guards lie in a concurrent map.
 */
public final class HomeGroupGuards implements Controller, BlockingTask {

    /** Guards of a home group. With five, two may be lost and each key still finds a majority of its three. */
    private static final int ROSTER_SIZE = 5;

    private static final long STEP_INTERVAL_MS = 250;

    private final Dependencies dependencies;
    private final Map<String, HomeGroupGuard> guards = new ConcurrentSkipListMap<>();

    /**
     * Creates the guards of a node, none at first.
     *
     * @param dependencies what the guards read and call, not null.
     */
    public HomeGroupGuards(final Dependencies dependencies) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
    }

    @Override
    public void tick() {
        dependencies.localGroups().get().forEach(group -> guards.computeIfAbsent(group, this::create));
        guards.values().forEach(each -> each.guard().tick());
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        return guards.values().stream().anyMatch(each -> each.guard().receive(sender, message));
    }

    @Override
    public long step() {
        guards.values().forEach(each -> each.rosterController().tick());
        return STEP_INTERVAL_MS;
    }

    /**
     * Counts the claims retained in each group.
     *
     * @return the number of claims by group.
     */
    public Map<String, Integer> claimCounts() {
        Map<String, Integer> counts = new TreeMap<>();
        guards.forEach((group, each) -> counts.put(group, each.guard().claimCount()));
        return counts;
    }

    private HomeGroupGuard create(final String group) {
        ClaimTiming timing = ClaimTiming.defaults();
        Set<ClaimRule> rules = ClaimRule.all();
        GuardState state = new GuardState(dependencies.node(), group, dependencies.clock(), timing, rules);
        ClaimGuard guard = new ClaimGuard(
                dependencies.node(),
                state,
                dependencies.blackboard(),
                dependencies.clock(),
                timing,
                ClaimCapacity.defaults(),
                rules,
                dependencies.messenger());
        RosterController rosterController = new RosterController(
                dependencies.node(),
                state,
                dependencies.rosterRegistry(),
                () -> dependencies.candidates().apply(group),
                dependencies.clock(),
                timing,
                ROSTER_SIZE,
                rules,
                dependencies.random());
        return new HomeGroupGuard(guard, rosterController);
    }

    /**
     * What the guards of a node read and call. Thread-safe if its parts are.
     *
     * @param node the name of the node.
     * @param ownGroups the home groups that hold the node's failure domain.
     * @param candidates names of the nodes of a group that are alive, by group.
     * @param blackboard the node's blackboard.
     * @param clock the clock.
     * @param register the rosters in the store.
     * @param messenger sends to other nodes by name.
     * @param random a thread-safe random source.
     */
    public record Dependencies(
            String node,
            Supplier<List<String>> localGroups,
            Function<String, List<String>> candidates,
            Blackboard blackboard,
            Clock clock,
            RosterRegistry rosterRegistry,
            ControlMessenger messenger,
            RandomGenerator random) {

        /**
         * Checks the components.
         *
         * @throws NullPointerException if a component is null.
         */
        public Dependencies {
            Objects.requireNonNull(node, "node");
            Objects.requireNonNull(localGroups, "localGroups");
            Objects.requireNonNull(candidates, "candidates");
            Objects.requireNonNull(blackboard, "blackboard");
            Objects.requireNonNull(clock, "clock");
            Objects.requireNonNull(rosterRegistry, "rosterRegistry");
            Objects.requireNonNull(messenger, "messenger");
            Objects.requireNonNull(random, "random");
        }
    }
}
