package org.sequoiashunt.trial.execution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.sequoiashunt.execution.ClaimReply;
import org.sequoiashunt.execution.ClaimRequest;
import org.sequoiashunt.execution.GuardHeartbeat;
import org.sequoiashunt.execution.GuardHeartbeatReply;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Sums of what claims cost. Bytes are those of the fields in their shortest binary form, with a tag each and a frame
 * header; the link's own overhead comes on top.
 *
 * <p>Confined to one thread.
 */
final class ClaimCost {

    private static final int FRAME_BYTES = 8;
    private static final int KEY_BYTES = 20;
    private static final int NUMBER_BYTES = 4;
    private static final int TAGGED_BYTES = 2;

    private final List<Long> addedMs = new ArrayList<>();
    private int asked;
    private int refused;
    private long messages;
    private long bytes;
    private long heartbeats;
    private long heartbeatBytes;

    void clear() {
        addedMs.clear();
        asked = 0;
        refused = 0;
        messages = 0;
        bytes = 0;
        heartbeats = 0;
        heartbeatBytes = 0;
    }

    void asked() {
        asked++;
    }

    void granted(final long durationMs) {
        addedMs.add(durationMs);
    }

    void refused() {
        refused++;
    }

    void sent(final ControlMessage message) {
        if (message instanceof ClaimRequest request) {
            count(text(request.group()) + text(request.attempt()) + KEY_BYTES + 2 * NUMBER_BYTES);
        } else if (message instanceof ClaimReply reply) {
            count(text(reply.group()) + text(reply.attempt()) + KEY_BYTES + 2 * NUMBER_BYTES);
        } else if (message instanceof GuardHeartbeat heartbeat) {
            countHeartbeat(text(heartbeat.group()) + 2 * NUMBER_BYTES);
        } else if (message instanceof GuardHeartbeatReply reply) {
            countHeartbeat(text(reply.group()) + 2 * NUMBER_BYTES);
        }
    }

    /** Notes a message between guards that no claim causes. */
    private void countHeartbeat(final int size) {
        heartbeats++;
        heartbeatBytes += FRAME_BYTES + size;
    }

    private void count(final int size) {
        messages++;
        bytes += FRAME_BYTES + size;
    }

    private static int text(final String value) {
        return TAGGED_BYTES + value.length();
    }

    /**
     * Describes the sums.
     *
     * @return one line.
     */
    String describe() {
        List<Long> sorted = new ArrayList<>(addedMs);
        Collections.sort(sorted);
        double perClaim = Math.max(1, asked);
        return String.format(
                Locale.ROOT,
                "%6d claims, %6.2f%% refused, added p50 %s ms, p99 %s ms, %5.2f messages and %4.0f bytes a claim",
                asked,
                100.0 * refused / perClaim,
                percentile(sorted, 50),
                percentile(sorted, 99),
                messages / perClaim,
                bytes / perClaim);
    }

    /**
     * Describes the traffic between guards.
     *
     * @param guards how many guards there are.
     * @param durationMs over which time they were counted.
     * @return one line.
     */
    String describeHeartbeats(final int guards, final long durationMs) {
        double guardSeconds = guards * durationMs / 1_000.0;
        return String.format(
                Locale.ROOT,
                "%.1f messages and %.0f bytes a second sent by each of %d guards",
                heartbeats / guardSeconds,
                heartbeatBytes / guardSeconds,
                guards);
    }

    private static String percentile(final List<Long> sorted, final int percent) {
        if (sorted.isEmpty()) {
            return "-";
        }
        return String.valueOf(sorted.get(Math.min(sorted.size() - 1, sorted.size() * percent / 100)));
    }
}
