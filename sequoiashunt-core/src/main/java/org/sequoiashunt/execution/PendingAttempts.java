package org.sequoiashunt.execution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Attempts of one entry that have not ended, by identity.
 *
 * <p>Thread-safe: the attempts lie in shards, each under its own lock.
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
     * @throws IllegalArgumentException if there is an attempt of the same identity.
     */
    void add(final PendingAttempt pending) {
        String attempt = pending.claim().attempt();
        Map<String, PendingAttempt> shard = shard(attempt);
        synchronized (shard) {
            if (shard.putIfAbsent(attempt, pending) != null) {
                throw new IllegalArgumentException("attempt is not unique: " + attempt);
            }
        }
    }

    /**
     * Finds an attempt.
     *
     * @param attempt the identity, not null.
     * @return the attempt, or empty if it has ended or never began.
     */
    Optional<PendingAttempt> find(final String attempt) {
        Map<String, PendingAttempt> shard = shard(attempt);
        synchronized (shard) {
            return Optional.ofNullable(shard.get(attempt));
        }
    }

    /**
     * Removes an attempt, if present.
     *
     * @param attempt the identity, not null.
     */
    void remove(final String attempt) {
        Map<String, PendingAttempt> shard = shard(attempt);
        synchronized (shard) {
            shard.remove(attempt);
        }
    }

    /**
     * Lists the attempts.
     *
     * @return a snapshot.
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

    private Map<String, PendingAttempt> shard(final String attempt) {
        return shards.get(Math.floorMod(attempt.hashCode(), SHARDS));
    }
}
