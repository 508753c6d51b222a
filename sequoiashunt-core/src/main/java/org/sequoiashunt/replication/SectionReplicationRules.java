package org.sequoiashunt.replication;

import java.util.Arrays;
import java.util.List;
import org.sequoiashunt.blackboard.Section;

/**
 * How the sections of the blackboard take part in replication. Not instantiable; thread-safe.
 */
final class SectionReplicationRules {

    private static final List<Section> WHOLE = Arrays.stream(Section.values())
            .filter(section -> section.scope() != Section.Scope.SAME_SERVICE)
            .filter(SectionReplicationRules::isOffered)
            .toList();

    private SectionReplicationRules() {}

    /**
     * Tells whether entries of a section are offered and compared by themselves. Parts of the configuration are not:
     * the head names them, and they are pulled with it.
     */
    static boolean isOffered(final Section section) {
        return section != Section.CONFIGURATION_PART;
    }

    /** Lists the sections that are compared as a whole with a node of a failure domain. */
    static List<Section> sharedWith(final boolean sameDomain) {
        return WHOLE.stream()
                .filter(section -> sameDomain || section.scope() == Section.Scope.EVERYWHERE)
                .toList();
    }
}
