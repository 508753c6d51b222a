package org.sequoiashunt.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.sequoiashunt.membership.MembershipView;
import org.sequoiashunt.membership.ServingTarget;

/**
 * Lists the targets that the members of the mesh serve. Targets on suspected nodes are listed only if no target of the
 * version is on an unsuspected node.
 *
 * <p>Thread-safe. The lists derived from a membership view are cached until the view changes.
 */
public final class MemberCandidates implements CandidateSource {

    private final Supplier<MembershipView> viewSupplier;
    private volatile DerivedCandidates cache =
            new DerivedCandidates(MembershipView.of(List.of()), new ConcurrentHashMap<>());

    /**
     * Creates a source.
     *
     * @param viewSupplier supplies the current membership view, not null.
     */
    public MemberCandidates(final Supplier<MembershipView> viewSupplier) {
        this.viewSupplier = Objects.requireNonNull(viewSupplier, "viewSupplier");
    }

    @Override
    public List<Candidate> candidates(final String service, final String targetVersion) {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(targetVersion, "targetVersion");
        MembershipView view = viewSupplier.get();
        DerivedCandidates current = cache;
        if (current.view() != view) {
            current = new DerivedCandidates(view, new ConcurrentHashMap<>());
            cache = current;
        }
        ServedVersion served = new ServedVersion(service, targetVersion);
        return current.candidates().computeIfAbsent(served, key -> listCandidates(view, key));
    }

    private static List<Candidate> listCandidates(final MembershipView view, final ServedVersion served) {
        List<Candidate> unsuspected = new ArrayList<>();
        List<Candidate> suspected = new ArrayList<>();
        for (ServingTarget serving : view.servingTargets(served.service())) {
            if (serving.target().targetVersion().equals(served.targetVersion())) {
                List<Candidate> matching = serving.suspected() ? suspected : unsuspected;
                matching.add(toCandidate(serving));
            }
        }
        return List.copyOf(unsuspected.isEmpty() ? suspected : unsuspected);
    }

    private static Candidate toCandidate(final ServingTarget serving) {
        return new Candidate(
                serving.node(),
                serving.address(),
                serving.failureDomain(),
                serving.region(),
                serving.target().target(),
                serving.target().targetVersion(),
                serving.target().slots());
    }

    /** Version of a service. Immutable and thread-safe. */
    private record ServedVersion(String service, String targetVersion) {}

    /** Candidate lists derived from one membership view, by service and version. Thread-safe. */
    private record DerivedCandidates(MembershipView view, Map<ServedVersion, List<Candidate>> candidates) {}
}
