package org.sequoiashunt.blackboard;

/**
 * Part of the blackboard, with the scope in which its entries replicate.
 *
 * <p>Immutable and thread-safe. The order of the constants is part of the wire protocol: add new ones at the end.
 */
public enum Section {
    /** The one accepted head of the configuration. */
    CONFIGURATION_HEAD(Scope.EVERYWHERE),
    /** Configuration of one service, named by its content digest. */
    CONFIGURATION_PART(Scope.EVERYWHERE),
    /** One entry per node, written by its owner alone. */
    MEMBER(Scope.EVERYWHERE),
    /** Suspicions about members, written by the nodes that probe them. */
    SUSPICION(Scope.FAILURE_DOMAIN),
    /** Request counts of a service in a rollout, per node, target version and route. */
    EVIDENCE(Scope.SAME_SERVICE),
    /** Stage and share of one move. */
    ROLLOUT(Scope.EVERYWHERE),
    /** Fingerprints of requests that crash targets. */
    QUARANTINE(Scope.EVERYWHERE),
    /** Guards of one home group under an epoch. */
    ROSTER(Scope.EVERYWHERE),
    /** Departures of members, written by the lead of their failure domain. */
    DEPARTURE(Scope.EVERYWHERE);

    private final Scope scope;

    Section(final Scope scope) {
        this.scope = scope;
    }

    /**
     * Returns the nodes to which entries of this section replicate.
     *
     * @return the scope, never null.
     */
    public Scope scope() {
        return scope;
    }

    /** Set of nodes that hold a replica of a section. Immutable and thread-safe. */
    public enum Scope {
        /** Every node of every failure domain. */
        EVERYWHERE,
        /** The nodes of the failure domain in which the entry was written. */
        FAILURE_DOMAIN,
        /** The nodes that serve the service that the entry is about. */
        SAME_SERVICE
    }
}
