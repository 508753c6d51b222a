package org.sequoiashunt.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;

/**
 * Derives the {@link MembershipView} from the blackboard, and only when an entry that the view depends on has changed.
 *
 * <p>Confined to one thread.
 */
final class MembershipViewBuilder {

    private final Blackboard blackboard;
    private final SuspicionTimers timers;
    private long builtChangeCount = -1;

    MembershipViewBuilder(final Blackboard blackboard, final SuspicionTimers timers) {
        this.blackboard = blackboard;
        this.timers = timers;
    }

    boolean isOutdated() {
        return builtChangeCount != changeCount();
    }

    MembershipView build() {
        builtChangeCount = changeCount();
        Map<String, EntryVersion> departed = new HashMap<>();
        blackboard
                .entries(Section.DEPARTURE)
                .forEach(entry -> departed.put(entry.key().name(), entry.version()));
        List<ObservedMember> members = new ArrayList<>();
        for (Entry entry : blackboard.entries(Section.MEMBER)) {
            EntryVersion departure = departed.get(entry.key().name());
            members.add(observed(entry, departure));
        }
        return MembershipView.of(members);
    }

    private ObservedMember observed(final Entry entry, final EntryVersion departure) {
        Member member = (Member) entry.value();
        return new ObservedMember(member, entry.version(), presence(member, entry.version(), departure));
    }

    private ObservedMember.Presence presence(
            final Member member, final EntryVersion version, final EntryVersion departure) {
        boolean departed = departure != null && !version.isNewerThan(departure);
        if (departed || member.state() == MemberState.LEFT || timers.isExpired(member.node())) {
            return ObservedMember.Presence.GONE;
        }
        return timers.isSuspected(member.node()) ? ObservedMember.Presence.SUSPECTED : ObservedMember.Presence.ALIVE;
    }

    private long changeCount() {
        return blackboard.changeCount(Section.MEMBER)
                + blackboard.changeCount(Section.SUSPICION)
                + blackboard.changeCount(Section.DEPARTURE);
    }
}
