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
 * Writes the departures of a failure domain while this node is its lead, and removes expired departures.
 *
 * <p>A lead that reaches less than half of its failure domain is likely to be the one that is cut off; it waits before
 * it writes, since a wrong departure takes a serving member out of every node's view until it is refuted. To measure
 * its reach it polls a sample of the members: members are detected as gone one by one, so that the number detected so
 * far underestimates a partition.
 *
 * <p>Confined to one thread, but {@link #mayMerge} is thread-safe. Invariant: the departed version of a removed member
 * is not merged again while peers may still have it.
 */
final class DepartureRecorder {

    // Peers expire departures by their own clocks; the margin covers clock drift and the time until their next check.
    private static final long FORGOTTEN_VERSION_RETENTION_MS = 600_000;

    private final NodeIdentity identity;
    private final Blackboard blackboard;
    private final MembershipSettings settings;
    private final PartitionDetector partitionDetector;
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
        this.partitionDetector = poll;
    }

    void writeDepartures(final MembershipView view, final long nowMs) {
        Optional<Member> lead = view.lead(identity.failureDomain());
        if (lead.isEmpty() || !lead.get().node().equals(identity.node())) {
            return;
        }
        List<ObservedMember> unrecorded =
                view.members().stream().filter(this::isUnrecorded).toList();
        unrecorded.stream().filter(DepartureRecorder::hasLeft).forEach(observed -> writeDepartures(observed, nowMs));
        List<ObservedMember> silent =
                unrecorded.stream().filter(observed -> !hasLeft(observed)).toList();
        if (!silent.isEmpty() && mayRecordDepartures(view, silent, nowMs)) {
            silent.stream()
                    .filter(observed ->
                            partitionDetector.isUnanswered(observed.member().node()))
                    .forEach(observed -> writeDepartures(observed, nowMs));
        }
    }

    void accept(final ProbeAnswer answer) {
        partitionDetector.accept(answer);
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
    boolean mayMerge(final Entry entry, final long nowMs) {
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

    private boolean mayRecordDepartures(
            final MembershipView view, final List<ObservedMember> silent, final long nowMs) {
        List<Member> present = view.presentInLeadOrder(identity.failureDomain());
        List<Member> suspects = silent.stream().map(ObservedMember::member).toList();
        switch (partitionDetector.advance(present, suspects, nowMs)) {
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

    private void writeDepartures(final ObservedMember observed, final long nowMs) {
        Departure departure = new Departure(observed.member().node(), nowMs);
        blackboard.merge(Entry.of(departure.member(), identity.node(), observed.version(), departure));
    }

    private static boolean hasLeft(final ObservedMember observed) {
        return observed.member().state() == MemberState.LEFT;
    }

    private boolean isUnrecorded(final ObservedMember observed) {
        Member member = observed.member();
        if (observed.presence().isPresent() || !member.failureDomain().equals(identity.failureDomain())) {
            return false;
        }
        Optional<Entry> departure = blackboard.find(EntryKey.of(Section.DEPARTURE, member.node()));
        return departure.isEmpty()
                || observed.version().isNewerThan(departure.get().version());
    }

    private void forget(final Entry departure, final long nowMs) {
        String member = departure.key().name();
        synchronized (forgotten) {
            forgotten.put(member, new ForgottenMember(departure.version(), nowMs + FORGOTTEN_VERSION_RETENTION_MS));
        }
        Optional<Entry> entry = blackboard.find(EntryKey.of(Section.MEMBER, member));
        if (entry.isPresent() && !entry.get().version().isNewerThan(departure.version())) {
            blackboard.remove(entry.get().key(), entry.get().version());
        }
        blackboard.remove(departure.key(), departure.version());
    }

    /** Departed version of a removed member, which is not merged again until a time. Immutable and thread-safe. */
    private record ForgottenMember(EntryVersion version, long untilMs) {}
}
