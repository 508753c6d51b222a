package org.sequoiashunt.membership;

import java.util.List;
import java.util.Objects;
import java.util.function.UnaryOperator;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.time.Clock;

/**
 * Publishes this node's member entry and refutes what others state about the node. The incarnation is the time of the
 * start, the sequence grows with each change.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: the version on the blackboard never decreases, and the entry
 * there under the node's name equals the one last published here, as soon as {@link #supersedeOthersStatements()} has
 * run.
 */
public final class LocalMember {

    private final Blackboard blackboard;
    private Member member;
    private Member published;
    private EntryVersion version;

    private LocalMember(final Blackboard blackboard, final Member member, final EntryVersion version) {
        this.blackboard = blackboard;
        this.member = member;
        this.published = member;
        this.version = version;
    }

    /**
     * Creates the entry of a node that joins, and puts it on the blackboard.
     *
     * @param identity the node, not null.
     * @param blackboard the node's blackboard, not null.
     * @param clock the clock, not null.
     * @return the entry, never null.
     */
    public static LocalMember of(final NodeIdentity identity, final Blackboard blackboard, final Clock clock) {
        Objects.requireNonNull(blackboard, "blackboard");
        Member member = new Member(
                identity.node(),
                identity.failureDomain(),
                identity.region(),
                identity.address(),
                MemberState.JOINING,
                List.of(),
                0);
        LocalMember own = new LocalMember(blackboard, member, EntryVersion.of(clock.nowMs(), 0));
        own.publish();
        return own;
    }

    /**
     * Changes the entry. Does nothing if the change leaves it equal.
     *
     * @param change makes the new entry from the present one, not null.
     */
    public synchronized void update(final UnaryOperator<Member> change) {
        Member changed = change.apply(member);
        if (changed.equals(member)) {
            return;
        }
        member = changed;
        publishVersionAbove(version);
    }

    /**
     * Changes the content of the entry without publishing a new version; the next version includes the change. Use it
     * for changes that are not worth a message to every node.
     *
     * @param change makes the new entry from the present one, not null.
     */
    public synchronized void updateWithoutPublishing(final UnaryOperator<Member> change) {
        member = change.apply(member);
    }

    /** Raises the version, which refutes every suspicion of the versions before. */
    public synchronized void raiseVersion() {
        publishVersionAbove(version);
    }

    /**
     * Publishes a version above that of every statement about this node that it did not publish: an entry of an earlier
     * process under its name, a suspicion, or a departure.
     *
     * @return true if a new version was published.
     */
    public synchronized boolean supersedeOthersStatements() {
        EntryVersion before = version;
        blackboard.find(key(Section.MEMBER)).ifPresent(this::supersedeMemberEntry);
        blackboard.find(key(Section.SUSPICION)).ifPresent(this::supersedeStatement);
        if (member.state() != MemberState.LEFT) {
            blackboard.find(key(Section.DEPARTURE)).ifPresent(this::supersedeStatement);
        }
        return !before.equals(version);
    }

    /**
     * Returns what the node states about itself.
     *
     * @return the member, never null.
     */
    public synchronized Member member() {
        return member;
    }

    /**
     * Returns the version of the entry.
     *
     * @return the version, never null.
     */
    public synchronized EntryVersion version() {
        return version;
    }

    private void supersedeMemberEntry(final Entry entry) {
        if (entry.version().isNewerThan(version) || !entry.value().equals(published)) {
            publishVersionAbove(entry.version());
        }
    }

    private void supersedeStatement(final Entry entry) {
        if (!version.isNewerThan(entry.version())) {
            publishVersionAbove(entry.version());
        }
    }

    private void publishVersionAbove(final EntryVersion seen) {
        if (seen.major() > version.major()) {
            version = EntryVersion.of(seen.major() + 1, 0);
        } else {
            version = EntryVersion.of(version.major(), Math.max(seen.minor(), version.minor()) + 1);
        }
        publish();
    }

    private void publish() {
        published = member;
        blackboard.merge(Entry.of(member.node(), member.node(), version, member));
    }

    private EntryKey key(final Section section) {
        return EntryKey.of(section, member.node());
    }
}
