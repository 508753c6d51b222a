package org.sequoiashunt.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.placement.PlacementCandidate;

/**
 * Chooses which version of a service takes a request while traffic moves from one version to another.
 *
 * <p>The share of the new version is dealt evenly, not by chance, so that its bound holds over short spans too.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: a version that was rolled back is never chosen.
 */
public final class MeshVersionSelector {

    private static final int WHOLE = 1_000;

    private final MoveTable moves;
    private final RandomGenerator random;
    private final Map<String, Integer> creditByService = new HashMap<>();

    /**
     * Creates a chooser.
     *
     * @param moves where the moves stand, not null.
     * @param random source of chance, guarded by this object, not null.
     */
    public MeshVersionSelector(final MoveTable moves, final RandomGenerator random) {
        this.moves = Objects.requireNonNull(moves, "moves");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Decides whether a request goes to the new version of its service.
     *
     * @param service the service, not null.
     * @return true if it goes to the new version, false without a move that runs.
     */
    public synchronized boolean chooseNew(final String service) {
        VersionMove move = moves.find(service).orElse(null);
        if (move == null || move.state() != MoveState.RUNNING) {
            return false;
        }
        int credit = creditByService.computeIfAbsent(service, unused -> random.nextInt(WHOLE)) + move.sharePermille();
        boolean chosen = credit >= WHOLE;
        creditByService.put(service, chosen ? credit - WHOLE : credit);
        return chosen;
    }

    /**
     * Keeps the targets that may take a request.
     *
     * @param service the service, not null.
     * @param candidates its targets, not null.
     * @param chosenNew whether the request goes to the new version.
     * @return the targets of the chosen version; those of the other one if it has none and the move allows it.
     */
    public List<PlacementCandidate> filter(
            final String service, final List<PlacementCandidate> candidates, final boolean chosenNew) {
        VersionMove move = moves.find(service).orElse(null);
        if (move == null) {
            return candidates;
        }
        List<PlacementCandidate> latest = candidates.stream()
                .filter(candidate -> candidate.report().version().equals(move.version()))
                .toList();
        List<PlacementCandidate> others = candidates.stream()
                .filter(candidate -> !candidate.report().version().equals(move.version()))
                .toList();
        return switch (move.state()) {
            case ROLLED_BACK -> others;
            case COMPLETED -> latest.isEmpty() ? others : latest;
            case RUNNING -> chosenNew && !latest.isEmpty() ? latest : others;
        };
    }
}
