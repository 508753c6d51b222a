package org.sequoiashunt.execution;

import java.util.List;
import java.util.Map;

/** Home groups as the configuration in force lists them. Implementations are thread-safe and never block. */
@FunctionalInterface
public interface HomeGroupSource {

    /**
     * Lists the home groups of every service.
     *
     * @return the lists by service.
     */
    Map<String, HomeGroupLists> homeGroups();

    /**
     * Home groups of one service. Immutable and thread-safe.
     *
     * <p>A configuration that changes the groups names the ones before as former, and a later one drops them only after
     * the first has been in force on every node for the retention window. Then entries of neighbouring configurations
     * always ask one group in common, however late each adopts the change.
     *
     * @param current the groups over which the keys spread.
     * @param former the groups over which they spread before, asked as well; may be empty.
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
