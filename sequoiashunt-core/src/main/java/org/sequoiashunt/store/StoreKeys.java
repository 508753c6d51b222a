package org.sequoiashunt.store;

import java.util.Objects;

/**
 * Keys, key prefixes and lease names that this system uses in the platform's store. Not instantiable; thread-safe.
 */
public final class StoreKeys {

    /** Key of the head of the configuration. */
    public static final String CONFIGURATION_HEAD_KEY = "configuration/head";

    /** Prefix of the keys of commit records, which are immutable. */
    public static final String CONFIGURATION_VERSIONS_PREFIX = "configuration/versions/";

    /** Prefix of the keys of configuration parts, which are immutable; followed by the digest of the part. */
    public static final String CONFIGURATION_PARTS_PREFIX = "configuration/parts/";

    /** Prefix of the keys under which the progress and outcome of moves are stored. */
    public static final String MOVES_PREFIX = "moves/";

    /** Prefix of the keys of failure domain summaries. */
    public static final String DOMAINS_PREFIX = "domains/";

    /** Prefix of the keys of home group rosters. */
    public static final String ROSTERS_PREFIX = "rosters/";

    private static final String LEADS_PREFIX = "leads/";

    private StoreKeys() {}

    /**
     * Returns the name of the lead lease of a failure domain.
     *
     * @param failureDomain the failure domain, not null.
     * @return the name, never null.
     */
    public static String leadLease(final String failureDomain) {
        return LEADS_PREFIX + Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
