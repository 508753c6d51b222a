package org.sequoiashunt.mesh;

import java.util.List;
import java.util.Optional;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.store.StoreException;

/**
 * The platform as a mesh uses it: the operator's documents, entries by which nodes find each other, and the record of
 * moves.
 *
 * <p>Calls but {@link #decode} block until answered or timed out. Implementations are thread-safe.
 */
public interface MeshPlatform {

    /**
     * Reads everything that the operator wants.
     *
     * @return the state, never null.
     * @throws StoreException if the store did not answer.
     */
    DesiredState read() throws StoreException;

    /**
     * Waits for the operator to change something.
     *
     * @param revision the revision up to which the caller knows the state.
     * @param waitMs the longest wait, in milliseconds, positive.
     * @return the changes, with the revision to go on from; empty if the store has forgotten what happened since and
     *     the caller must read anew.
     * @throws StoreException if the store did not answer.
     */
    Optional<DesiredState> watch(long revision, long waitMs) throws StoreException;

    /**
     * Decodes and checks a configuration as a whole.
     *
     * @param document the document, not null.
     * @return the configuration, never null.
     * @throws ConfigurationException if it cannot be put in force as a whole.
     */
    MeshConfiguration decode(Body document) throws ConfigurationException;

    /**
     * Lists the nodes that have an entry.
     *
     * @return the nodes, never null.
     * @throws StoreException if the store did not answer.
     */
    List<KnownNode> nodes() throws StoreException;

    /**
     * Enters a node under a lease of its own.
     *
     * @param node the node, not null.
     * @param durationMs how long the entry lasts without a renewal, in milliseconds.
     * @return the number of the lease.
     * @throws StoreException if the store did not answer.
     */
    long enter(KnownNode node, long durationMs) throws StoreException;

    /**
     * Renews the lease of an entry.
     *
     * @param lease the number of the lease.
     * @return false if the lease has ended, and the entry with it.
     * @throws StoreException if the store did not answer.
     */
    boolean renew(long lease) throws StoreException;

    /**
     * Records where a move stands, for the operator and for nodes to come. An outcome is never overwritten.
     *
     * @param move the standing, not null.
     * @return the standing that is recorded now, which differs if another node has recorded a later one.
     * @throws StoreException if the store did not answer.
     */
    VersionMove record(VersionMove move) throws StoreException;
}
