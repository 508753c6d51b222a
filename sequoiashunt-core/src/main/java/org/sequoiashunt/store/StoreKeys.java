package org.sequoiashunt.store;

import java.util.Objects;

/**
 * Names of the keys and leases that the system uses in the platform's store. Not instantiable; thread-safe.
 */
public final class StoreKeys {

    /** Key of the head of the configuration. */
    public static final String HEAD = "configuration/head";

    /** Prefix of the immutable records of commits. */
    public static final String VERSIONS = "configuration/versions/";

    /** Prefix of the immutable parts of the configuration, by digest. */
    public static final String PARTS = "configuration/parts/";

    /** Prefix of the progress and outcome of moves. */
    public static final String MOVES = "moves/";

    /** Prefix of the summaries of failure domains. */
    public static final String DOMAINS = "domains/";

    /** Prefix of the rosters of home groups. */
    public static final String ROSTERS = "rosters/";

    private static final String LEADS = "leads/";

    private StoreKeys() {}

    /**
     * Returns the name of the lease of a failure domain's lead.
     *
     * @param failureDomain the failure domain, not null.
     * @return the name, never null.
     */
    public static String leadLease(final String failureDomain) {
        return LEADS + Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
