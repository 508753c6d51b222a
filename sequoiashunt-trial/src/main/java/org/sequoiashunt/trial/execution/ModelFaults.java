package org.sequoiashunt.trial.execution;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Faults of one schedule: kills, restarts, pauses, splits, one-way cuts and outages of the store, drawn by a seeded
 * random source. Each schedule draws first how often each kind comes.
 *
 * <p>Confined to one thread.
 */
final class ModelFaults {

    private final ClaimModel world;
    private final RandomGenerator random;
    private final int killPerThousand;
    private final int freezePerThousand;
    private final int splitPerThousand;
    private final int storePerThousand;
    private final boolean healBeforeSplit;

    ModelFaults(final ClaimModel world) {
        this.world = world;
        this.random = world.random();
        this.killPerThousand = random.nextInt(12);
        this.freezePerThousand = random.nextInt(12);
        this.splitPerThousand = random.nextInt(25);
        this.storePerThousand = random.nextInt(8);
        this.healBeforeSplit = random.nextBoolean();
    }

    /** Draws the faults of one step. */
    void step() {
        if (happens(killPerThousand)) {
            kill(any());
        }
        if (happens(freezePerThousand)) {
            freeze(any());
        }
        if (happens(splitPerThousand)) {
            split();
        }
        if (happens(storePerThousand)) {
            world.store().setDown(true);
            world.later(duration(), () -> world.store().setDown(false));
        }
    }

    private boolean happens(final int perThousand) {
        return random.nextInt(1_000) < perThousand;
    }

    private ModelNode any() {
        return world.nodes().get(random.nextInt(world.nodes().size()));
    }

    private int duration() {
        int spanMs = (int) ClaimModel.TIMING.retentionMs();
        return random.nextBoolean() ? 100 + random.nextInt(spanMs / 4) : random.nextInt(3 * spanMs / 2);
    }

    private void kill(final ModelNode node) {
        if (node.isAlive()) {
            node.kill();
            world.later(duration(), node::start);
        }
    }

    private void freeze(final ModelNode node) {
        if (node.isRunning()) {
            node.freeze();
            world.later(duration(), node::wake);
        }
    }

    private void split() {
        if (healBeforeSplit) {
            world.network().heal();
            world.store().heal();
        }
        boolean oneWay = random.nextInt(3) == 0;
        List<ModelNode> side = side();
        boolean storeCut = random.nextInt(3) == 0;
        for (ModelNode node : side) {
            if (storeCut) {
                world.store().cut(node.name());
            }
            for (ModelNode other : world.nodes()) {
                if (!side.contains(other)) {
                    cut(node, other, oneWay);
                }
            }
        }
        world.later(duration(), () -> {
            world.network().heal();
            world.store().heal();
        });
    }

    private void cut(final ModelNode node, final ModelNode other, final boolean oneWay) {
        world.network().cut(node.name(), other.name());
        if (!oneWay) {
            world.network().cut(other.name(), node.name());
        }
    }

    private List<ModelNode> side() {
        List<ModelNode> side = new ArrayList<>();
        int parts = 2 + random.nextInt(3);
        for (ModelNode node : world.nodes()) {
            if (random.nextInt(parts) == 0) {
                side.add(node);
            }
        }
        return side;
    }
}
