package org.sequoiashunt.trial.execution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.execution.ClaimCoordinator;
import org.sequoiashunt.execution.ClaimGuard;
import org.sequoiashunt.execution.ClaimRule;
import org.sequoiashunt.execution.ClaimTiming;
import org.sequoiashunt.execution.ControlMessenger;
import org.sequoiashunt.execution.GuardState;
import org.sequoiashunt.execution.HomeGroupResolver;
import org.sequoiashunt.execution.RosterController;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;

/**
 * One node of a model with the product's own classes. It can be killed, restarted empty, frozen and woken; while it is
 * frozen, whatever reaches it waits.
 *
 * <p>Confined to one thread.
 */
final class ModelNode {

    private final String name;
    private final String group;
    private final ModelEnvironment world;
    private final Clock clock;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private Blackboard blackboard;
    private ClaimGuard guard;
    private ClaimCoordinator coordinator;
    private RosterController controller;
    private boolean alive;
    private boolean frozen;

    /**
     * Creates a node that is not started.
     *
     * @param name its name, not null.
     * @param group its home group, not null.
     * @param world what surrounds it, not null.
     * @param drift the largest relative drift between two clocks.
     */
    ModelNode(final String name, final String group, final ModelEnvironment world, final double drift) {
        this.name = name;
        this.group = group;
        this.world = world;
        RandomGenerator random = world.random();
        long offsetMs = random.nextInt(1_000_000);
        double rate = 1.0 + (random.nextDouble() - 0.5) * drift;
        this.clock = () -> offsetMs + (long) (world.nowMs() * rate);
    }

    String name() {
        return name;
    }

    String group() {
        return group;
    }

    Clock clock() {
        return clock;
    }

    ClaimCoordinator coordinator() {
        return coordinator;
    }

    boolean isAlive() {
        return alive;
    }

    boolean isRunning() {
        return alive && !frozen;
    }

    /** Starts the node with nothing in memory. */
    void start() {
        Set<ClaimRule> rules = world.rules();
        ClaimTiming timing = world.timing();
        alive = true;
        frozen = false;
        waiting.clear();
        blackboard = new Blackboard();
        ControlMessenger messenger = new ControlMessenger(
                (address, message) -> world.send(name, address.host(), message),
                node -> Optional.of(new NodeAddress(node, 1)));
        GuardState standing = new GuardState(name, group, clock, timing, rules);
        guard = new ClaimGuard(name, standing, blackboard, clock, timing, world.capacity(), rules, messenger);
        HomeGroupResolver homes = new HomeGroupResolver(() -> world.homeGroups(name), clock, timing, rules);
        coordinator = new ClaimCoordinator(blackboard, homes, clock, timing, rules, messenger);
        controller = new RosterController(
                name,
                standing,
                world.store().registerFor(name),
                () -> world.reachableOf(this),
                clock,
                timing,
                world.rosterSize(),
                rules,
                world.random());
    }

    void kill() {
        alive = false;
        waiting.clear();
    }

    void freeze() {
        frozen = true;
    }

    /** Wakes the node: it works off what waited, before or after its next tick. */
    void wake() {
        frozen = false;
        if (alive && world.random().nextBoolean()) {
            tick();
        }
        List<Runnable> work = new ArrayList<>(waiting);
        waiting.clear();
        work.forEach(this::run);
    }

    /** Does something on this node now, or once it is awake; forgets it if the node is dead or dies. */
    void run(final Runnable action) {
        if (!alive) {
            return;
        }
        if (frozen) {
            waiting.add(action);
        } else {
            action.run();
        }
    }

    void deliver(final ModelNetwork.Delivery delivery) {
        run(() -> {
            if (!coordinator.receive(delivery.from(), delivery.message())) {
                guard.receive(delivery.from(), delivery.message());
            }
        });
    }

    void tick() {
        if (isRunning()) {
            guard.tick();
            coordinator.tick();
        }
    }

    void tickController() {
        if (isRunning()) {
            controller.tick();
        }
    }

    /** Merges the rosters that another node knows, as replication does. */
    void pull(final ModelNode other) {
        if (isRunning() && other.isRunning()) {
            other.blackboard.entries(Section.ROSTER).forEach(blackboard::merge);
        }
    }
}
