package org.sequoiashunt.trial.execution;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.sequoiashunt.execution.Roster;
import org.sequoiashunt.execution.RosterRegistry;
import org.sequoiashunt.store.StoreException;

/**
 * Rosters in the store of a model: can be down, cut from single nodes, and lose answers.
 *
 * <p>Confined to one thread.
 */
final class ModelStore {

    private static final int LOST_ANSWER_ONE_IN = 20;

    private final RandomGenerator random;
    private final Map<String, Roster> rosters = new HashMap<>();
    private final Set<String> cutNodes = new HashSet<>();
    private boolean down;

    ModelStore(final RandomGenerator random) {
        this.random = random;
    }

    void setDown(final boolean newDown) {
        this.down = newDown;
    }

    void cut(final String node) {
        cutNodes.add(node);
    }

    void heal() {
        cutNodes.clear();
        down = false;
    }

    /**
     * Returns the register as one node reaches it.
     *
     * @param node the node, not null.
     * @return the register.
     */
    RosterRegistry registerFor(final String node) {
        return new RosterRegistry() {
            @Override
            public Optional<Roster> read(final String group) throws StoreException {
                check(node);
                return Optional.ofNullable(rosters.get(group));
            }

            @Override
            public boolean replace(final Roster roster) throws StoreException {
                check(node);
                Roster present = rosters.get(roster.group());
                long epoch = present == null ? 0 : present.epoch();
                boolean fits = roster.epoch() == epoch + 1;
                if (fits) {
                    rosters.put(roster.group(), roster);
                }
                if (random.nextInt(LOST_ANSWER_ONE_IN) == 0) {
                    throw new StoreException("answer lost", true);
                }
                return fits;
            }
        };
    }

    private void check(final String node) throws StoreException {
        if (down || cutNodes.contains(node)) {
            throw new StoreException("store out of reach", false);
        }
    }
}
