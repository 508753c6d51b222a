package org.sequoiashunt.execution;

import java.util.List;
import java.util.Map;

/** Provides the home groups that the configuration in force lists. Implementations are thread-safe and never block. */
@FunctionalInterface
public interface HomeGroupSource {

    /**
     * Returns the home groups of every service.
     *
     * @return the home groups by the name of the service.
     */
    Map<String, HomeGroupLists> homeGroups();

    /**
     * Home groups of one service. Immutable and thread-safe.
     *
     * <p>A configuration that changes the groups lists the previous ones as former. A later configuration may omit them
     * only after the first one has been in force on every node for the retention window. Entries that use consecutive
     * configurations then always contact at least one common group, however late each of them adopts a change.
     *
     * @param current the groups among which the keys are distributed now; empty if the service has no home group.
     * @param former the groups among which the keys were distributed before, which are contacted as well; may be empty.
     */
    record HomeGroupLists(List<String> current, List<String> former) {

        /**
         * Copies the lists.
         *
         * @throws NullPointerException if a list is null.
         */
        public HomeGroupLists {
            current = List.copyOf(current);
            former = List.copyOf(former);
        }
    }
}
