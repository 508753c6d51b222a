package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.Section;

/**
 * States that a member is gone: it left, or it did not refute a suspicion in time. Written by the lead of the
 * member's own failure domain. The entry's name is the member, its version the one of the member's own entry that is
 * gone; a higher version of that entry refutes it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param member the name of the member.
 * @param atMs when this was stated, in milliseconds since the epoch; the entry expires a fixed time later.
 */
public record Departure(String member, long atMs) implements EntryValue {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public Departure {
        Objects.requireNonNull(member, "member");
    }

    @Override
    public Section section() {
        return Section.DEPARTURE;
    }
}
