package org.sequoiashunt.execution;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.call.CallResult;

/**
 * Stores the claims that one guard has recorded, in the order of recording.
 *
 * <p>Thread-safe: the claims are stored in shards with one lock each. Invariants: a claim is retained for the retention
 * window unless its attempt is released; the number of claims and of released attempts is bounded.
 */
final class ClaimLedger {

    private static final int SHARDS = 16;

    /**
     * A shard remembers one released attempt per this many claims of its capacity. Forgetting one is safe: a request
     * that arrives after its release then blocks the key, and a resend must wait until the retention window has passed.
     */
    private static final int RELEASED_ATTEMPTS_DIVISOR = 8;

    private final Shard[] shards = new Shard[SHARDS];
    private final RecordedOutcomes outcomes;

    /**
     * Creates an empty ledger.
     *
     * @param capacity the limits of the ledger, not null.
     * @param retentionMs how long a claim is retained, in milliseconds.
     * @param rules the rules in force, not null.
     */
    ClaimLedger(final ClaimCapacity capacity, final long retentionMs, final Set<ClaimRule> rules) {
        int perShard = Math.max(1, capacity.claims() / SHARDS);
        boolean refuseWhenFull = rules.contains(ClaimRule.REFUSE_WHEN_FULL);
        for (int index = 0; index < SHARDS; index++) {
            shards[index] = new Shard(perShard, retentionMs, refuseWhenFull);
        }
        this.outcomes = new RecordedOutcomes(capacity.outcomes(), capacity.outcomeBytes());
    }

    /**
     * Records a claim unless another attempt holds the key.
     *
     * @param key the key to claim, not null.
     * @param attemptId identity of the attempt, not null.
     * @param remainingMs how long the attempt may still run, in milliseconds.
     * @param nowMs the current time, in milliseconds of the local clock.
     * @return {@link ClaimVerdict#GRANTED} if the attempt holds the key, or the verdict that says why it does not, with
     *     the recorded answer if there is one; never null.
     */
    Decision claim(final ClaimKey key, final String attemptId, final long remainingMs, final long nowMs) {
        ClaimKey attemptDigest = ClaimKey.digest(attemptId);
        Claim claim = new Claim(attemptDigest.high(), attemptDigest.low(), nowMs, nowMs + remainingMs);
        Shard shard = shard(key);
        synchronized (shard) {
            ClaimVerdict verdict = shard.claim(key, claim);
            Optional<CallResult> answer =
                    verdict.isHeld() ? outcomes.find(shard.claims.get(key).attempt()) : Optional.empty();
            return answer.isPresent()
                    ? new Decision(ClaimVerdict.HELD_DONE, answer)
                    : new Decision(verdict, Optional.empty());
        }
    }

    /**
     * Removes the claim of an attempt that has not run and never will. Does nothing to the claim of another attempt.
     *
     * @param key the key that the attempt claimed, not null.
     * @param attemptId identity of the attempt, not null.
     */
    void release(final ClaimKey key, final String attemptId) {
        shard(key).release(key, ClaimKey.digest(attemptId));
    }

    /**
     * Records the answer of the attempt that holds a key; ignores the answer of any other attempt.
     *
     * @param key the key that the attempt claimed, not null.
     * @param attemptId identity of the attempt, not null.
     * @param result how the attempt ended, not null.
     */
    void record(final ClaimKey key, final String attemptId, final CallResult result) {
        ClaimKey attemptDigest = ClaimKey.digest(attemptId);
        if (shard(key).isHeldBy(key, attemptDigest)) {
            outcomes.put(attemptDigest, result);
        }
    }

    /**
     * Removes claims that were recorded longer ago than the retention window.
     *
     * @param nowMs the current time, in milliseconds of the local clock.
     */
    void expire(final long nowMs) {
        for (Shard shard : shards) {
            shard.expire(nowMs, outcomes);
        }
    }

    /**
     * Counts the retained claims.
     *
     * @return the number of claims.
     */
    int size() {
        int sum = 0;
        for (Shard shard : shards) {
            sum += shard.size();
        }
        return sum;
    }

    private Shard shard(final ClaimKey key) {
        return shards[(int) Math.floorMod(key.low(), (long) SHARDS)];
    }

    /**
     * Result of a claim. Immutable.
     *
     * @param verdict whether the attempt holds the key, or why not.
     * @param answer the recorded answer, present exactly if the verdict is {@link ClaimVerdict#HELD_DONE}.
     */
    record Decision(ClaimVerdict verdict, Optional<CallResult> answer) {}

    /** Claim of one attempt; stores a digest of the identity of the attempt to save memory. Immutable. */
    private record Claim(long attemptHigh, long attemptLow, long recordedMs, long runsUntilMs) {

        private ClaimKey attempt() {
            return new ClaimKey(attemptHigh, attemptLow);
        }

        private boolean belongsTo(final ClaimKey attempt) {
            return attemptHigh == attempt.high() && attemptLow == attempt.low();
        }
    }

    /** Claims whose keys hash to one shard. Thread-safe: guarded by its own monitor. */
    private static final class Shard {

        private final int capacity;
        private final long retentionMs;
        private final boolean refuseWhenFull;
        private final Map<ClaimKey, Claim> claims = new LinkedHashMap<>();
        private final Set<ClaimKey> releasedAttempts = new LinkedHashSet<>();

        private Shard(final int capacity, final long retentionMs, final boolean refuseWhenFull) {
            this.capacity = capacity;
            this.retentionMs = retentionMs;
            this.refuseWhenFull = refuseWhenFull;
        }

        private synchronized ClaimVerdict claim(final ClaimKey key, final Claim claim) {
            Claim existing = claims.get(key);
            if (existing != null && isRetained(existing, claim.recordedMs)) {
                return verdict(existing, claim);
            }
            if (releasedAttempts.contains(claim.attempt())) {
                return ClaimVerdict.ENDED;
            }
            claims.remove(key);
            if (claims.size() >= capacity && !evictOldest(claim.recordedMs)) {
                return ClaimVerdict.FULL;
            }
            claims.put(key, claim);
            return ClaimVerdict.GRANTED;
        }

        private static ClaimVerdict verdict(final Claim existing, final Claim claim) {
            if (existing.belongsTo(claim.attempt())) {
                return ClaimVerdict.GRANTED;
            }
            return claim.recordedMs < existing.runsUntilMs ? ClaimVerdict.HELD_RUNNING : ClaimVerdict.HELD_UNKNOWN;
        }

        private boolean isRetained(final Claim claim, final long nowMs) {
            return nowMs - claim.recordedMs < retentionMs;
        }

        private boolean evictOldest(final long nowMs) {
            Iterator<Claim> oldest = claims.values().iterator();
            Claim claim = oldest.next();
            if (refuseWhenFull && isRetained(claim, nowMs)) {
                return false;
            }
            oldest.remove();
            return true;
        }

        private synchronized void release(final ClaimKey key, final ClaimKey attempt) {
            if (isHeldBy(key, attempt)) {
                claims.remove(key);
            }
            releasedAttempts.add(attempt);
            if (releasedAttempts.size() > capacity / RELEASED_ATTEMPTS_DIVISOR + 1) {
                Iterator<ClaimKey> oldest = releasedAttempts.iterator();
                oldest.next();
                oldest.remove();
            }
        }

        private synchronized boolean isHeldBy(final ClaimKey key, final ClaimKey attempt) {
            Claim existing = claims.get(key);
            return existing != null && existing.belongsTo(attempt);
        }

        private synchronized void expire(final long nowMs, final RecordedOutcomes outcomes) {
            Iterator<Claim> oldest = claims.values().iterator();
            while (oldest.hasNext()) {
                Claim claim = oldest.next();
                if (isRetained(claim, nowMs)) {
                    return;
                }
                oldest.remove();
                outcomes.remove(claim.attempt());
            }
        }

        private synchronized int size() {
            return claims.size();
        }
    }
}
