package org.sequoiashunt.mesh;

import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.placement.PlacementCandidate;

/** Told of what a dispatcher decides. Implementations are thread-safe, never block and never throw. */
public interface DispatchObserver {

    /**
     * A target was chosen for a request.
     *
     * @param call the request, not null.
     * @param route its route, not null.
     * @param candidate the target with the report that decided, not null.
     * @param attempt the number of the attempt, from one.
     */
    void placed(MeshCall call, MeshRoute route, PlacementCandidate candidate, int attempt);

    /**
     * An attempt has ended.
     *
     * @param call the request, not null.
     * @param route its route, not null.
     * @param candidate the target, not null.
     * @param result how the attempt ended, not null.
     */
    void attemptEnded(MeshCall call, MeshRoute route, PlacementCandidate candidate, CallResult result);
}
