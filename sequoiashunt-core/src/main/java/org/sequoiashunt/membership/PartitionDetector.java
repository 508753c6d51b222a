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
 * Asks a sample of the members of a failure domain at once whether they are there, to learn on which side of a
 * partition this node is. The sample is bounded, so that the cost does not grow with the failure domain.
 *
 * <p>Confined to one thread.
 */
final class PartitionDetector {

    private static final int SAMPLE = 30;
    private static final long RETRY_MS = 200;
    private static final long DURATION_MS = 700;
    private static final long VALID_MS = 5_000;

    private final NodeIdentity identity;
    private final PeerSender sender;
    private final RandomGenerator random;
    private final Map<String, NodeAddress> silent = new HashMap<>();
    private long number;
    private int asked;
    private long startedMs = Long.MIN_VALUE / 2;
    private long triedMs;

    PartitionDetector(final NodeIdentity identity, final PeerSender sender, final RandomGenerator random) {
        this.identity = identity;
        this.sender = sender;
        this.random = random;
    }

    /** Continues the present poll, or starts one if the last one is too old. Returns what it says. */
    PartitionSide advance(final List<Member> present, final List<Member> doubted, final long nowMs) {
        if (nowMs - startedMs >= VALID_MS) {
            start(present, doubted, nowMs);
        }
        if (nowMs - startedMs >= DURATION_MS) {
            int answered = asked - silent.size();
            return 2 * (answered + 1) >= asked + 1 ? PartitionSide.MAJORITY : PartitionSide.MINORITY;
        }
        if (nowMs - triedMs >= RETRY_MS) {
            ask(nowMs);
        }
        return PartitionSide.PENDING;
    }

    /** Tells whether a member was asked in the last poll and did not answer. */
    boolean isSilent(final String member) {
        return silent.containsKey(member);
    }

    void accept(final ProbeAnswer answer) {
        if (answer.number() == number) {
            silent.remove(answer.member());
        }
    }

    private void start(final List<Member> present, final List<Member> doubted, final long nowMs) {
        silent.clear();
        sample(present);
        sample(doubted);
        silent.remove(identity.node());
        asked = silent.size();
        number = random.nextLong();
        startedMs = nowMs;
        ask(nowMs);
    }

    private void sample(final List<Member> members) {
        List<Member> shuffled = new ArrayList<>(members);
        Collections.shuffle(shuffled, new Random(random.nextLong()));
        shuffled.stream().limit(SAMPLE).forEach(member -> silent.put(member.node(), member.address()));
    }

    private void ask(final long nowMs) {
        triedMs = nowMs;
        silent.values().forEach(address -> sender.send(address, new Probe(number, identity.address())));
    }

    /** What a poll says. Immutable and thread-safe. */
    enum PartitionSide {
        /** The poll has not ended. */
        PENDING,
        /** At least half of those asked, and this node, are there. */
        MAJORITY,
        /** Less than half are there: this node is likely to be cut off. */
        MINORITY
    }
}
