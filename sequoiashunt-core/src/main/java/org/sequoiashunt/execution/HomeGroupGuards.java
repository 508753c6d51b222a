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

    private static final long STEP_PAUSE_MS = 250;

    private final Dependencies ports;
    private final Map<String, HomeGroupGuard> guards = new ConcurrentSkipListMap<>();

    /**
     * Creates the guards of a node, none at first.
     *
     * @param ports what the guards read and call, not null.
     */
    public HomeGroupGuards(final Dependencies ports) {
        this.ports = Objects.requireNonNull(ports, "ports");
    }

    @Override
    public void tick() {
        ports.ownGroups().get().forEach(group -> guards.computeIfAbsent(group, this::create));
        guards.values().forEach(each -> each.guard().tick());
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        return guards.values().stream().anyMatch(each -> each.guard().receive(sender, message));
    }

    @Override
    public long step() {
        guards.values().forEach(each -> each.roster().tick());
        return STEP_PAUSE_MS;
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
        GuardState standing = new GuardState(ports.node(), group, ports.clock(), timing, rules);
        ClaimGuard guard = new ClaimGuard(
                ports.node(),
                standing,
                ports.blackboard(),
                ports.clock(),
                timing,
                ClaimCapacity.defaults(),
                rules,
                ports.messenger());
        RosterController roster = new RosterController(
                ports.node(),
                standing,
                ports.register(),
                () -> ports.candidates().apply(group),
                ports.clock(),
                timing,
                ROSTER_SIZE,
                rules,
                ports.random());
        return new HomeGroupGuard(guard, roster);
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
            Supplier<List<String>> ownGroups,
            Function<String, List<String>> candidates,
            Blackboard blackboard,
            Clock clock,
            RosterRegistry register,
            ControlMessenger messenger,
            RandomGenerator random) {

        /**
         * Checks the components.
         *
         * @throws NullPointerException if a component is null.
         */
        public Dependencies {
            Objects.requireNonNull(node, "node");
            Objects.requireNonNull(ownGroups, "ownGroups");
            Objects.requireNonNull(candidates, "candidates");
            Objects.requireNonNull(blackboard, "blackboard");
            Objects.requireNonNull(clock, "clock");
            Objects.requireNonNull(register, "register");
            Objects.requireNonNull(messenger, "messenger");
            Objects.requireNonNull(random, "random");
        }
    }
}
