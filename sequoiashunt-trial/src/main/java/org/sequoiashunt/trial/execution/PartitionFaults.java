package org.sequoiashunt.trial.execution;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Partitions that change while an epoch is under way: a short one, during which guards are replaced, then a long one
 * with a few nodes on the other side, some of them restarted empty on the way, with or without the store.
 *
 * <p>Confined to one thread.
 */
final class PartitionFaults {

    private static final int FIRST_MS = 1_300;
    private static final int FIRST_SPREAD_MS = 2_500;
    private static final int HEALED_SPREAD_MS = 2_000;

    private final ClaimModel world;
    private final RandomGenerator random;
    private final Set<ModelNode> side = new HashSet<>();
    private boolean running;

    PartitionFaults(final ClaimModel world) {
        this.world = world;
        this.random = world.random();
    }

    /** Starts the next pair of partitions if none is under way. */
    void step() {
        if (!running) {
            running = true;
            int healedMs = random.nextInt(HEALED_SPREAD_MS);
            int firstMs = FIRST_MS + random.nextInt(FIRST_SPREAD_MS);
            int retentionMs = (int) ClaimModel.TIMING.retentionMs();
            int secondMs = retentionMs + random.nextInt(retentionMs);
            world.later(healedMs, this::first);
            world.later(healedMs + firstMs, this::second);
            world.later(healedMs + firstMs + secondMs, this::heal);
        }
    }

    private void first() {
        side.clear();
        int parts = 2 + random.nextInt(3);
        world.nodes().stream().filter(node -> random.nextInt(parts) == 0).forEach(side::add);
        cut();
        cutStore();
    }

    private void second() {
        world.network().heal();
        world.store().heal();
        boolean restart = random.nextBoolean();
        int moves = 1 + random.nextInt(2);
        List<ModelNode> moved = new ArrayList<>();
        for (int count = 0; count < moves; count++) {
            moved.add(world.nodes().get(random.nextInt(world.nodes().size())));
        }
        moved.forEach(this::move);
        cut();
        cutStore();
        if (restart) {
            moved.forEach(ModelNode::start);
        }
    }

    private void move(final ModelNode node) {
        if (!side.remove(node)) {
            side.add(node);
        }
    }

    private void cut() {
        for (ModelNode node : world.nodes()) {
            for (ModelNode other : world.nodes()) {
                if (side.contains(node) != side.contains(other)) {
                    world.network().cut(node.name(), other.name());
                }
            }
        }
    }

    private void cutStore() {
        int choice = random.nextInt(4);
        if (choice == 0) {
            world.store().setDown(true);
        }
        for (ModelNode node : world.nodes()) {
            if (choice == 1 && side.contains(node) || choice == 2 && !side.contains(node)) {
                world.store().cut(node.name());
            }
        }
    }

    private void heal() {
        world.network().heal();
        world.store().heal();
        running = false;
    }
}
