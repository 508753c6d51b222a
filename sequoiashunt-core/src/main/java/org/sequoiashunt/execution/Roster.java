package org.sequoiashunt.execution;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.Section;

/**
 * Blackboard entry that lists the guards of one home group. The name of the entry is the group; the major version is
 * the epoch and the minor version is zero.
 *
 * <p>Immutable and thread-safe. Invariant: the list is unmodifiable.
 *
 * @param group the name of the home group.
 * @param epoch the epoch, which starts at one and increases by one with each change.
 * @param guards the names of the nodes that are guards.
 */
public record Roster(String group, long epoch, List<String> guards) implements EntryValue {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public Roster {
        Objects.requireNonNull(group, "group");
        guards = List.copyOf(guards);
    }

    @Override
    public Section section() {
        return Section.ROSTER;
    }
}
