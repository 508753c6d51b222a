package org.sequoiashunt.routing;

import java.util.List;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Selects the target versions for each request. Implementations are thread-safe.
 */
@FunctionalInterface
public interface VersionSelector {

    /**
     * Selects the versions that may run a request.
     *
     * @param service the configuration of the service, not null.
     * @return the selected version, followed by the versions to fall back to if it has no target; never empty.
     */
    List<String> selectVersions(ServiceConfiguration service);
}
