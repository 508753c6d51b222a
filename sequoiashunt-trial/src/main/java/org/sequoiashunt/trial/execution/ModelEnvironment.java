package org.sequoiashunt.trial.execution;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.sequoiashunt.execution.ClaimCapacity;
import org.sequoiashunt.execution.ClaimRule;
import org.sequoiashunt.execution.ClaimTiming;
import org.sequoiashunt.execution.HomeGroupSource.HomeGroupLists;
import org.sequoiashunt.peer.ControlMessage;

/**
 * What surrounds the nodes of a model. Implementations are confined to one thread.
 */
interface ModelEnvironment {

    /**
     * Returns the time of the model.
     *
     * @return milliseconds since its start.
     */
    long nowMs();

    /**
     * Returns the source of chance.
     *
     * @return the source.
     */
    RandomGenerator random();

    /**
     * Returns the rules that are on.
     *
     * @return the rules.
     */
    Set<ClaimRule> rules();

    /**
     * Returns the times.
     *
     * @return the times.
     */
    ClaimTiming timing();

    /**
     * Returns the bounds of a guard.
     *
     * @return the bounds.
     */
    ClaimCapacity capacity();

    /**
     * Returns how many guards a group should have.
     *
     * @return the number.
     */
    int rosterSize();

    /**
     * Returns the store.
     *
     * @return the store.
     */
    ModelStore store();

    /**
     * Sends a message.
     *
     * @param from the sending node.
     * @param to the receiving node.
     * @param message the message.
     */
    void send(String from, String to, ControlMessage message);

    /**
     * Returns the home groups that a node has in force.
     *
     * @param node the name of the node.
     * @return the lists by service.
     */
    Map<String, HomeGroupLists> homeGroups(String node);

    /**
     * Returns the nodes of a node's group that it can reach.
     *
     * @param node the node.
     * @return their names.
     */
    List<String> reachableOf(ModelNode node);
}
