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
 * Lists targets by the membership. A target whose node is suspected is listed only when there is no other.
 *
 * <p>Thread-safe. What was derived from a view is kept until the view changes.
 */
public final class MemberCandidates implements CandidateSource {

    private final Supplier<MembershipView> views;
    private volatile DerivedCandidates derived =
            new DerivedCandidates(MembershipView.of(List.of()), new ConcurrentHashMap<>());

    /**
     * Creates a source.
     *
     * @param views gives the present view of the members, not null.
     */
    public MemberCandidates(final Supplier<MembershipView> views) {
        this.views = Objects.requireNonNull(views, "views");
    }

    @Override
    public List<Candidate> candidates(final String service, final String targetVersion) {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(targetVersion, "targetVersion");
        MembershipView view = views.get();
        DerivedCandidates present = derived;
        if (present.view() != view) {
            present = new DerivedCandidates(view, new ConcurrentHashMap<>());
            derived = present;
        }
        ServedVersion served = new ServedVersion(service, targetVersion);
        return present.candidates().computeIfAbsent(served, key -> derive(view, key));
    }

    private static List<Candidate> derive(final MembershipView view, final ServedVersion served) {
        List<Candidate> certain = new ArrayList<>();
        List<Candidate> suspected = new ArrayList<>();
        for (ServingTarget serving : view.servingTargets(served.service())) {
            if (serving.target().targetVersion().equals(served.targetVersion())) {
                List<Candidate> list = serving.suspected() ? suspected : certain;
                list.add(candidate(serving));
            }
        }
        return List.copyOf(certain.isEmpty() ? suspected : certain);
    }

    private static Candidate candidate(final ServingTarget serving) {
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

    /** What was derived from one view. Thread-safe. */
    private record DerivedCandidates(MembershipView view, Map<ServedVersion, List<Candidate>> candidates) {}
}
