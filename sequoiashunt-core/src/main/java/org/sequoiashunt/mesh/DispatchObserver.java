package org.sequoiashunt.mesh;

import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.placement.PlacementCandidate;

/** Receives the decisions of a dispatcher. Implementations are thread-safe, never block and never throw. */
public interface DispatchObserver {

    /**
     * Called when a target was chosen for an attempt, before the request is sent to it.
     *
     * @param call the request, not null.
     * @param route its route, not null.
     * @param candidate the chosen target, with the report on which the choice is based, not null.
     * @param attempt the number of the attempt, from one.
     */
    void targetChosen(MeshCall call, MeshRoute route, PlacementCandidate candidate, int attempt);

    /**
     * Called when an attempt is withdrawn from the gate of its target because this node stops.
     *
     * @param call the request, not null.
     * @param route its route, not null.
     * @param candidate the target, not null.
     */
    void attemptWithdrawn(MeshCall call, MeshRoute route, PlacementCandidate candidate);

    /**
     * Called when an attempt has ended, unless the request had ended before.
     *
     * @param call the request, not null.
     * @param route its route, not null.
     * @param candidate the target, not null.
     * @param result the result of the attempt, not null.
     */
    void attemptEnded(MeshCall call, MeshRoute route, PlacementCandidate candidate, CallResult result);
}
