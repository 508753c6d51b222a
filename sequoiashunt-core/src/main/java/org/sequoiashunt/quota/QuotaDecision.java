package org.sequoiashunt.quota;

/**
 * Decision on a request of an organisation with a limit. Immutable and thread-safe.
 *
 * @param admitted whether the request may run; it is then counted.
 * @param expectedWaitMs the time after which room is expected for a refused request, in milliseconds; 0 if admitted.
 */
public record QuotaDecision(boolean admitted, long expectedWaitMs) {

    static final QuotaDecision ADMITTED = new QuotaDecision(true, 0);

    static QuotaDecision refused(final long expectedWaitMs) {
        return new QuotaDecision(false, expectedWaitMs);
    }
}
