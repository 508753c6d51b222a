package org.sequoiashunt.execution;

import java.util.List;
import java.util.Map;

/** Home groups as the configuration in force lists them. Implementations are thread-safe and never block. */
@FunctionalInterface
public interface HomeGroupSource {

    /**
     * Lists the home groups of every service.
     *
     * @return the names of the home groups by service.
     */
    Map<String, List<String>> homeGroups();
}
