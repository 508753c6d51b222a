package org.sequoiashunt.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;

/**
 * Writes the departures of a failure domain when this node is its lead, and forgets expired ones.
 *
 * <p>A lead that reaches less than half of its failure domain is likely to be the one that is cut off; it waits before
 * it writes, since a wrong departure takes a serving member out of every node's view until it is refuted. It polls a
 * sample for that: the members that it has detected as gone so far say little, since they are detected one by one.
 *
 * <p>Confined to one thread, but {@link #admits} is thread-safe. Invariant: a member that was forgotten is not taken
 * back in the version that departed while peers may still have it.
 */
final class DepartureRecorder {

    // Peers forget at their own clock; the margin covers drift and the time until they look.
    private static final long FORGOTTEN_MS = 600_000;

    private final NodeIdentity identity;
    private final Blackboard blackboard;
    private final MembershipSettings settings;
    private final PartitionDetector poll;
    private final Map<String, ForgottenMember> forgotten = new HashMap<>();
    private long minoritySinceMs = Long.MAX_VALUE;

    DepartureRecorder(
            final NodeIdentity identity,
            final Blackboard blackboard,
            final MembershipSettings settings,
            final PartitionDetector poll) {
        this.identity = identity;
        this.blackboard = blackboard;
        this.settings = settings;
        this.poll = poll;
    }

    void write(final MembershipView view, final long nowMs) {
        Optional<Member> lead = view.first(identity.failureDomain());
        if (lead.isEmpty() || !lead.get().node().equals(identity.node())) {
            return;
        }
        List<ObservedMember> unrecorded =
                view.all().stream().filter(this::isUnrecorded).toList();
        unrecorded.stream().filter(DepartureRecorder::hasLeft).forEach(standing -> write(standing, nowMs));
        List<ObservedMember> silent =
                unrecorded.stream().filter(standing -> !hasLeft(standing)).toList();
        if (!silent.isEmpty() && mayJudge(view, silent, nowMs)) {
            silent.stream()
                    .filter(standing -> poll.isSilent(standing.member().node()))
                    .forEach(standing -> write(standing, nowMs));
        }
    }

    void accept(final ProbeAnswer answer) {
        poll.accept(answer);
    }

    void forgetExpired(final long nowMs) {
        for (Entry entry : blackboard.entries(Section.DEPARTURE)) {
            Departure departure = (Departure) entry.value();
            if (nowMs - departure.atMs() >= settings.retentionMs()) {
                forget(entry, nowMs);
            }
        }
        synchronized (forgotten) {
            forgotten.values().removeIf(former -> former.untilMs() <= nowMs);
        }
    }

    /** Tells whether an entry that a peer sent may be merged. */
    boolean admits(final Entry entry, final long nowMs) {
        if (entry.value() instanceof Departure departure && nowMs - departure.atMs() >= settings.retentionMs()) {
            return false;
        }
        if (entry.key().section() != Section.MEMBER) {
            return true;
        }
        synchronized (forgotten) {
            ForgottenMember former = forgotten.get(entry.key().name());
            return former == null || entry.version().isNewerThan(former.version());
        }
    }

    private boolean mayJudge(final MembershipView view, final List<ObservedMember> silent, final long nowMs) {
        List<Member> present = view.ranked(identity.failureDomain());
        List<Member> doubted = silent.stream().map(ObservedMember::member).toList();
        switch (poll.advance(present, doubted, nowMs)) {
            case MAJORITY:
                minoritySinceMs = Long.MAX_VALUE;
                return true;
            case MINORITY:
                minoritySinceMs = Math.min(minoritySinceMs, nowMs);
                return nowMs - minoritySinceMs >= settings.minorityDelayMs();
            default:
                return false;
        }
    }

    private void write(final ObservedMember standing, final long nowMs) {
        Departure departure = new Departure(standing.member().node(), nowMs);
        blackboard.merge(Entry.of(departure.member(), identity.node(), standing.version(), departure));
    }

    private static boolean hasLeft(final ObservedMember standing) {
        return standing.member().state() == MemberState.LEFT;
    }

    private boolean isUnrecorded(final ObservedMember standing) {
        Member member = standing.member();
        if (standing.presence().isPresent() || !member.failureDomain().equals(identity.failureDomain())) {
            return false;
        }
        Optional<Entry> departure = blackboard.find(EntryKey.of(Section.DEPARTURE, member.node()));
        return departure.isEmpty()
                || standing.version().isNewerThan(departure.get().version());
    }

    private void forget(final Entry departure, final long nowMs) {
        String member = departure.key().name();
        synchronized (forgotten) {
            forgotten.put(member, new ForgottenMember(departure.version(), nowMs + FORGOTTEN_MS));
        }
        Optional<Entry> entry = blackboard.find(EntryKey.of(Section.MEMBER, member));
        if (entry.isPresent() && !entry.get().version().isNewerThan(departure.version())) {
            blackboard.remove(entry.get().key(), entry.get().version());
        }
        blackboard.remove(departure.key(), departure.version());
    }

    /** Version of a member that is not taken back. Immutable and thread-safe. */
    private record ForgottenMember(EntryVersion version, long untilMs) {}
}
