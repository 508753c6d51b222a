package org.sequoiashunt.execution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Stores the claim attempts of one entry that have not ended, by identity.
 *
 * <p>Thread-safe: the attempts are stored in shards with one lock each.
 */
final class PendingAttempts {

    private static final int SHARDS = 16;

    private final List<Map<String, PendingAttempt>> shards = new ArrayList<>();

    /** Creates an empty collection. */
    PendingAttempts() {
        for (int index = 0; index < SHARDS; index++) {
            shards.add(new HashMap<>());
        }
    }

    /**
     * Adds an attempt.
     *
     * @param pending the attempt, not null.
     * @throws IllegalArgumentException if an attempt with the same identity is present.
     */
    void add(final PendingAttempt pending) {
        String attemptId = pending.attempt().attemptId();
        Map<String, PendingAttempt> shard = shard(attemptId);
        synchronized (shard) {
            if (shard.putIfAbsent(attemptId, pending) != null) {
                throw new IllegalArgumentException("claim attempt already exists, identity: " + attemptId);
            }
        }
    }

    /**
     * Finds an attempt.
     *
     * @param attemptId identity of the attempt, not null.
     * @return the attempt, or empty if the attempt has ended or was never added.
     */
    Optional<PendingAttempt> find(final String attemptId) {
        Map<String, PendingAttempt> shard = shard(attemptId);
        synchronized (shard) {
            return Optional.ofNullable(shard.get(attemptId));
        }
    }

    /**
     * Removes an attempt, if present.
     *
     * @param attemptId identity of the attempt, not null.
     */
    void remove(final String attemptId) {
        Map<String, PendingAttempt> shard = shard(attemptId);
        synchronized (shard) {
            shard.remove(attemptId);
        }
    }

    /**
     * Lists the attempts.
     *
     * @return a copy of the list; empty if there are no attempts.
     */
    List<PendingAttempt> all() {
        List<PendingAttempt> all = new ArrayList<>();
        for (Map<String, PendingAttempt> shard : shards) {
            synchronized (shard) {
                all.addAll(shard.values());
            }
        }
        return all;
    }

    private Map<String, PendingAttempt> shard(final String attemptId) {
        return shards.get(Math.floorMod(attemptId.hashCode(), SHARDS));
    }
}
