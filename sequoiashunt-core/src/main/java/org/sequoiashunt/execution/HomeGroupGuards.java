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
 * Runs a guard for each home group that the configuration assigns to the failure domain of this node.
 *
 * <p>{@link #tick()} and {@link #receive} run on the control thread, {@link #step()} on a thread that may block on the
 * store. A guard is never removed while the process runs, since its history of claims is still needed if a later
 * configuration assigns the home group to this node again.
 *
 * <p>Thread-safe: the guards are stored in a concurrent map.
 */
public final class HomeGroupGuards implements Controller, BlockingTask {

    /** Number of guards of a home group. With five, each key keeps a majority of its three guards when two fail. */
    private static final int ROSTER_SIZE = 5;

    private static final long STEP_INTERVAL_MS = 250;

    private final Dependencies dependencies;
    private final Map<String, HomeGroupGuard> guards = new ConcurrentSkipListMap<>();

    /**
     * Creates a collection without guards; {@link #tick()} adds them.
     *
     * @param dependencies the services that the guards use, not null.
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
     * Counts the retained claims of each home group.
     *
     * @return the number of claims by the name of the home group, sorted by name; empty if there are no guards.
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
     * Services and data sources that the guards of a node use. Thread-safe if its components are.
     *
     * @param node the name of the node.
     * @param localGroups returns the names of the home groups that contain the node's failure domain.
     * @param candidates returns the names of the nodes of a home group that are alive, this node included.
     * @param blackboard the node's blackboard.
     * @param clock the local clock.
     * @param rosterRegistry reads and writes the rosters in the store.
     * @param messenger sends control messages to nodes by name.
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
