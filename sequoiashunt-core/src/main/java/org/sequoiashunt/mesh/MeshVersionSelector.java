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
 * Selects the version of a service for each request while traffic moves from one version to another.
 *
 * <p>The requests of the new version's share are evenly spaced, not random, so that the share is not exceeded over
 * short periods either. Only the offset is random.
 *
 * <p>Thread-safe: guarded by this object's monitor. Invariant: a version that was rolled back is never chosen.
 */
public final class MeshVersionSelector {

    private static final int PERMILLE = 1_000;

    private final MoveTable moves;
    private final RandomGenerator random;
    private final Map<String, Integer> creditByService = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param moves the states of the moves, not null.
     * @param random generates the initial offset of each service, guarded by this object's monitor, not null.
     */
    public MeshVersionSelector(final MoveTable moves, final RandomGenerator random) {
        this.moves = Objects.requireNonNull(moves, "moves");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Decides whether a request goes to the new version of its service.
     *
     * @param service the service, not null.
     * @return true if it goes to the new version; always false if no move of the service is running.
     */
    public synchronized boolean chooseNewVersion(final String service) {
        VersionMove move = moves.find(service).orElse(null);
        if (move == null || move.state() != MoveState.RUNNING) {
            return false;
        }
        int credit =
                creditByService.computeIfAbsent(service, unused -> random.nextInt(PERMILLE)) + move.sharePermille();
        boolean useNewVersion = credit >= PERMILLE;
        creditByService.put(service, useNewVersion ? credit - PERMILLE : credit);
        return useNewVersion;
    }

    /**
     * Returns the targets that may receive a request.
     *
     * @param service the service, not null.
     * @param candidates the targets of the service, not null.
     * @param useNewVersion whether the request goes to the new version.
     * @return all targets if the service has no move; otherwise none of a version that was rolled back. While a move is
     *     running, the targets of the chosen version; if
     *     the new version has none, those of other versions. After completion, the targets of the new version or, if it
     *     has none, those of other versions. After a rollback, the targets of other versions. Never null.
     */
    public List<PlacementCandidate> filter(
            final String service, final List<PlacementCandidate> candidates, final boolean useNewVersion) {
        VersionMove move = moves.find(service).orElse(null);
        if (move == null) {
            return candidates;
        }
        List<PlacementCandidate> newVersionTargets = candidates.stream()
                .filter(candidate -> candidate.report().version().equals(move.version()))
                .toList();
        List<PlacementCandidate> otherTargets = candidates.stream()
                .filter(candidate -> !candidate.report().version().equals(move.version())
                        && !move.excludes(candidate.report().version()))
                .toList();
        return switch (move.state()) {
            case ROLLED_BACK -> otherTargets;
            case COMPLETED -> newVersionTargets.isEmpty() ? otherTargets : newVersionTargets;
            case RUNNING -> useNewVersion && !newVersionTargets.isEmpty() ? newVersionTargets : otherTargets;
        };
    }
}
