package org.sequoiashunt.routing;

import java.util.List;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Chooses the target version for each request. Implementations are thread-safe.
 */
@FunctionalInterface
public interface VersionSelector {

    /**
     * Chooses a version.
     *
     * @param service the configuration of the service, not null.
     * @return the versions that may take the request, the chosen one first and the others to fall back on when it has
     *     no target; never empty.
     */
    List<String> choose(ServiceConfiguration service);
}
