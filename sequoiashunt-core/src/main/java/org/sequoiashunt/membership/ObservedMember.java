package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.blackboard.EntryVersion;

/**
 * A member as this node sees it: the entry that the member published, and its presence.
 *
 * <p>Immutable and thread-safe.
 *
 * @param member the member.
 * @param version the version of the member's entry.
 * @param presence whether the member is alive, suspected or gone.
 */
public record ObservedMember(Member member, EntryVersion version, Presence presence) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public ObservedMember {
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(presence, "presence");
    }

    /** Liveness of a member as this node sees it. Immutable and thread-safe. */
    public enum Presence {
        /** The member is neither suspected nor departed. */
        ALIVE(true),
        /** The member did not answer probes and may still refute that. */
        SUSPECTED(true),
        /** The member left, or did not refute a suspicion in time. */
        GONE(false);

        private final boolean present;

        Presence(final boolean present) {
            this.present = present;
        }

        /**
         * Tells whether the member is alive or suspected.
         *
         * @return false if the member is gone.
         */
        public boolean isPresent() {
            return present;
        }
    }
}
