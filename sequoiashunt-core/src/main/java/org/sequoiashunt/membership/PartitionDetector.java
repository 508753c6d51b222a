package org.sequoiashunt.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;

/**
 * Probes a sample of the members of a failure domain at the same time, to detect on which side of a partition this node
 * is. The sample is bounded, so that the cost does not grow with the failure domain.
 *
 * <p>Confined to one thread.
 */
final class PartitionDetector {

    private static final int MAXIMUM_SAMPLE_MEMBERS = 30;
    private static final long RETRY_PERIOD_MS = 200;
    private static final long POLL_DURATION_MS = 700;
    private static final long RESULT_VALIDITY_MS = 5_000;

    private final NodeIdentity identity;
    private final PeerSender sender;
    private final RandomGenerator random;
    private final Map<String, NodeAddress> unanswered = new HashMap<>();
    private long number;
    private int askedCount;
    private long startedMs = Long.MIN_VALUE / 2;
    private long lastSentMs;

    PartitionDetector(final NodeIdentity identity, final PeerSender sender, final RandomGenerator random) {
        this.identity = identity;
        this.sender = sender;
        this.random = random;
    }

    /** Continues the current poll, or starts one if the last result is too old. Returns the result. */
    PartitionSide advance(final List<Member> present, final List<Member> suspects, final long nowMs) {
        if (nowMs - startedMs >= RESULT_VALIDITY_MS) {
            start(present, suspects, nowMs);
        }
        if (nowMs - startedMs >= POLL_DURATION_MS) {
            int answered = askedCount - unanswered.size();
            return 2 * (answered + 1) >= askedCount + 1 ? PartitionSide.MAJORITY : PartitionSide.MINORITY;
        }
        if (nowMs - lastSentMs >= RETRY_PERIOD_MS) {
            ask(nowMs);
        }
        return PartitionSide.PENDING;
    }

    /** Tells whether a member was asked in the last poll and did not answer. */
    boolean isUnanswered(final String member) {
        return unanswered.containsKey(member);
    }

    void accept(final ProbeAnswer answer) {
        if (answer.number() == number) {
            unanswered.remove(answer.member());
        }
    }

    private void start(final List<Member> present, final List<Member> suspects, final long nowMs) {
        unanswered.clear();
        sample(present);
        sample(suspects);
        unanswered.remove(identity.node());
        askedCount = unanswered.size();
        number = random.nextLong();
        startedMs = nowMs;
        ask(nowMs);
    }

    private void sample(final List<Member> members) {
        List<Member> shuffled = new ArrayList<>(members);
        Collections.shuffle(shuffled, new Random(random.nextLong()));
        shuffled.stream()
                .limit(MAXIMUM_SAMPLE_MEMBERS)
                .forEach(member -> unanswered.put(member.node(), member.address()));
    }

    private void ask(final long nowMs) {
        lastSentMs = nowMs;
        unanswered.values().forEach(address -> sender.send(address, new Probe(number, identity.address())));
    }

    /** Result of a poll. Immutable and thread-safe. */
    enum PartitionSide {
        /** The poll has not ended. */
        PENDING,
        /** At least half of the sample and this node, counted together, are reachable. */
        MAJORITY,
        /** Less than half are reachable: this node is likely to be cut off. */
        MINORITY
    }
}
