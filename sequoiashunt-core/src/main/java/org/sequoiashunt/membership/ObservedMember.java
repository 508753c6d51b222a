package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.blackboard.EntryVersion;

/**
 * A member as a node sees it: what the member states about itself, and whether it is there.
 *
 * <p>Immutable and thread-safe.
 *
 * @param member the member.
 * @param version the version of the member's entry.
 * @param presence whether the member is there.
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

    /** Whether a member is there. Immutable and thread-safe. */
    public enum Presence {
        /** Nothing speaks against the member. */
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
         * Tells whether the member still counts.
         *
         * @return false if the member is gone.
         */
        public boolean isPresent() {
            return present;
        }
    }
}
