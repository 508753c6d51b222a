package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;

/**
 * Sends entries to peers, in messages of bounded size and at a bounded rate.
 *
 * <p>Confined to one thread.
 */
final class DeliverySender {

    private final Blackboard blackboard;
    private final HeadHistory history;
    private final PeerSender sender;
    private final NodeAddress ownAddress;
    private final SendRateLimiter rateLimiter = new SendRateLimiter();

    DeliverySender(
            final Blackboard blackboard,
            final HeadHistory history,
            final PeerSender sender,
            final NodeAddress ownAddress) {
        this.blackboard = blackboard;
        this.history = history;
        this.sender = sender;
        this.ownAddress = ownAddress;
    }

    void answer(final Pull pull, final long nowMs) {
        List<Entry> entries = new ArrayList<>();
        for (EntryKey key : pull.keys()) {
            Optional<Entry> entry = blackboard.find(key);
            if (entry.isPresent() && !sendDelta(entry.get(), pull)) {
                entries.add(entry.get());
            }
        }
        send(entries, pull.replyTo(), nowMs);
    }

    void send(final List<Entry> entries, final NodeAddress peer, final long nowMs) {
        for (List<Entry> chunk : MessageSplitter.split(entries)) {
            if (!rateLimiter.tryAcquire(WireSizeEstimator.estimate(chunk), nowMs)) {
                return;
            }
            sender.send(peer, new Deliver(chunk, ownAddress));
        }
    }

    private boolean sendDelta(final Entry entry, final Pull pull) {
        if (entry.key().section() != Section.CONFIGURATION_HEAD) {
            return false;
        }
        Optional<HeadDelta> delta = history.difference(entry, pull.headVersion(), ownAddress);
        delta.ifPresent(difference -> sender.send(pull.replyTo(), difference));
        return delta.isPresent();
    }
}
