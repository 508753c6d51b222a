package org.sequoiashunt.mesh;

import java.util.List;
import java.util.Optional;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.target.TargetDeparture;

/**
 * Access to the platform's store for a mesh: the operator's documents, the registrations by which nodes find each
 * other, and the recorded states of moves.
 *
 * <p>All methods but {@link #decode} and {@link #storeEra} block until the store answers or a timeout ends.
 * Implementations are thread-safe.
 */
public interface MeshPlatform {

    /** Most departures that {@link #recordDepartures} records at a time. */
    int MAXIMUM_RECORDED_DEPARTURES = 16;

    /**
     * Reads the complete state that the operator requested.
     *
     * @return the state, never null.
     * @throws StoreException if the store did not answer.
     */
    DesiredState readDesiredState() throws StoreException;

    /**
     * Waits for the operator to change something.
     *
     * @param revision the revision up to which the caller has read the state.
     * @param waitMs the longest wait, in milliseconds, positive.
     * @return the changes, with the revision from which to continue; empty if the store no longer holds the changes
     *     since the revision, so that the caller must read the complete state.
     * @throws StoreException if the store did not answer.
     */
    Optional<DesiredState> watch(long revision, long waitMs) throws StoreException;

    /**
     * Decodes a configuration document and checks it.
     *
     * @param document the document, not null.
     * @return the configuration, never null.
     * @throws ConfigurationException if any part is invalid, as a configuration is put in force only as a whole.
     */
    MeshConfiguration decode(Body document) throws ConfigurationException;

    /**
     * Lists the registered nodes.
     *
     * @param freshness how recent the list must be, not null.
     * @return the nodes, never null.
     * @throws StoreException if the store did not answer.
     */
    List<KnownNode> listNodes(ReadFreshness freshness) throws StoreException;

    /**
     * Registers a node under a new lease.
     *
     * @param node the node, not null.
     * @param durationMs how long the registration lasts without a renewal, in milliseconds.
     * @return the number of the lease.
     * @throws StoreException if the store did not answer.
     */
    long registerNode(KnownNode node, long durationMs) throws StoreException;

    /**
     * Renews the lease of a registration.
     *
     * @param lease the number of the lease.
     * @return true if the lease was renewed, false if it has ended and the registration with it.
     * @throws StoreException if the store did not answer.
     */
    boolean renewLease(long lease) throws StoreException;

    /**
     * Reads the departures of a node's targets that were recorded and whose leases have not ended.
     *
     * @param node the name of the node, not null.
     * @return the departures, never null.
     * @throws StoreException if the store did not answer.
     */
    List<TargetDeparture> readDepartures(String node) throws StoreException;

    /**
     * Grants a lease for records of departures.
     *
     * @param durationMs how long the records last, in milliseconds.
     * @return the number of the lease.
     * @throws StoreException if the store did not answer.
     */
    long grantLease(long durationMs) throws StoreException;

    /**
     * Records departures of a node's targets.
     *
     * @param node the name of the node, not null.
     * @param departures the departures, not null, at most {@value #MAXIMUM_RECORDED_DEPARTURES}.
     * @param lease the number of the lease with which the records end.
     * @return true if they were recorded, false if the lease has ended.
     * @throws StoreException if the store did not answer.
     */
    boolean recordDepartures(String node, List<TargetDeparture> departures, long lease) throws StoreException;

    /**
     * Returns how many times the store is known to have come back from an older copy. It then lacks what it had
     * acknowledged shortly before; owners of state write theirs again when this number rises. Does not block.
     *
     * @return the latest era that the store has told, zero before its first response and where there are none.
     */
    long storeEra();

    /**
     * Records the state of a move, for the operator and for nodes that start later. An outcome is never overwritten.
     *
     * @param move the state of the move, not null.
     * @return the state that is recorded after the call; another one if another node has recorded a later state.
     * @throws StoreException if the store did not answer.
     */
    VersionMove record(VersionMove move) throws StoreException;
}
