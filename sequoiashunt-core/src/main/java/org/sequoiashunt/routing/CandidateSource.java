package org.sequoiashunt.routing;

import java.util.List;

/**
 * Lists the targets that accept requests. Implementations are thread-safe and fast enough for each request.
 */
@FunctionalInterface
public interface CandidateSource {

    /**
     * Lists the targets of one version of a service.
     *
     * @param service the service, not null.
     * @param targetVersion the target version, not null.
     * @return the targets that accept requests, possibly empty, never null.
     */
    List<Candidate> candidates(String service, String targetVersion);
}
