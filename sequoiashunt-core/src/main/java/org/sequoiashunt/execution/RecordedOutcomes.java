package org.sequoiashunt.execution;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiashunt.call.CallResult;

/**
 * Stores the answers of attempts that ended, bounded in number and total size; a new answer evicts the oldest ones.
 *
 * <p>Thread-safe: guarded by its own monitor.
 */
final class RecordedOutcomes {

    private final int maximumCount;
    private final int maximumBytes;
    private final Map<ClaimKey, CallResult> results = new LinkedHashMap<>();
    private final Map<ClaimKey, Integer> sizes = new HashMap<>();
    private int totalBytes;

    /**
     * Creates an empty collection.
     *
     * @param maximumCount maximum number of answers.
     * @param maximumBytes maximum total size of bodies and headers, in bytes.
     */
    RecordedOutcomes(final int maximumCount, final int maximumBytes) {
        this.maximumCount = maximumCount;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Stores an answer, replacing an earlier one of the attempt. An answer larger than the maximum size is not stored.
     *
     * @param attempt the digest of the attempt, not null.
     * @param result the answer, not null.
     */
    synchronized void put(final ClaimKey attempt, final CallResult result) {
        remove(attempt);
        int size = sizeBytes(result);
        if (size > maximumBytes) {
            return;
        }
        results.put(attempt, result);
        sizes.put(attempt, size);
        totalBytes += size;
        while (results.size() > maximumCount || totalBytes > maximumBytes) {
            remove(results.keySet().iterator().next());
        }
    }

    /**
     * Finds an answer.
     *
     * @param attempt the digest of the attempt, not null.
     * @return the answer, or empty if none was stored or the answer was evicted.
     */
    synchronized Optional<CallResult> find(final ClaimKey attempt) {
        return Optional.ofNullable(results.get(attempt));
    }

    /**
     * Removes an answer, if present.
     *
     * @param attempt the digest of the attempt, not null.
     */
    synchronized void remove(final ClaimKey attempt) {
        if (results.remove(attempt) != null) {
            totalBytes -= sizes.remove(attempt);
        }
    }

    private static int sizeBytes(final CallResult result) {
        return result.response()
                .map(answer -> answer.body().length()
                        + answer.headers().stream()
                                .mapToInt(header ->
                                        header.name().length() + header.value().length())
                                .sum())
                .orElse(0);
    }
}
