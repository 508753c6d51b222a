package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.Section;

/**
 * States that a member did not answer its probes. The entry's name is the member, its version the one of the member's
 * own entry that is suspected, its writer the member that probed. The suspected member refutes it by a higher version
 * of its own entry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param member the name of the member.
 */
public record Suspicion(String member) implements EntryValue {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public Suspicion {
        Objects.requireNonNull(member, "member");
    }

    @Override
    public Section section() {
        return Section.SUSPICION;
    }
}
