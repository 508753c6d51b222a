package org.sequoiashunt.node.mesh;

import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.slot.StatedLoad;

/** Receives the loads that targets state in their answers. Implementations neither block nor throw. */
@FunctionalInterface
interface StatedLoadListener {

    /**
     * Called on the event loop before the result of the call completes.
     *
     * @param target the address of the target, not null.
     * @param load the load, not null.
     * @param sentMs when the answered call was sent or before, in milliseconds of the local clock.
     */
    void loadStated(NodeAddress target, StatedLoad load, long sentMs);
}
