package org.sequoiashunt.membership;

import org.sequoiashunt.peer.ControlMessage;

/**
 * Answers a {@link JoinRequest}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ready whether the sender itself has passed its start.
 * @param storeRead whether the sender has just read the head of the configuration from the store.
 * @param configurationVersion the highest configuration version that the sender has in force, zero for none.
 */
public record JoinAnswer(boolean ready, boolean storeRead, long configurationVersion) implements ControlMessage {}
