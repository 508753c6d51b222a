package org.sequoiashunt.node;

import java.util.Objects;
import org.sequoiashunt.link.ControlReceiver;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;

/**
 * Delivers messages to this node itself without the link, and all others over it. Immutable and thread-safe.
 */
final class LoopbackSender implements PeerSender {

    private final String node;
    private final NodeAddress ownAddress;
    private final ControlReceiver self;
    private final PeerSender link;

    LoopbackSender(final String node, final NodeAddress ownAddress, final ControlReceiver self, final PeerSender link) {
        this.node = Objects.requireNonNull(node, "node");
        this.ownAddress = Objects.requireNonNull(ownAddress, "ownAddress");
        this.self = Objects.requireNonNull(self, "self");
        this.link = Objects.requireNonNull(link, "link");
    }

    @Override
    public void send(final NodeAddress receiver, final ControlMessage message) {
        if (receiver.equals(ownAddress)) {
            self.receive(node, message);
        } else {
            link.send(receiver, message);
        }
    }
}
