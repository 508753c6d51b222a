package org.sequoiashunt.node;

import java.util.Objects;
import org.sequoiashunt.link.ControlReceiver;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;

/**
 * Delivers messages to the address of this node locally, and all others over the link. Immutable and thread-safe.
 */
final class LoopbackSender implements PeerSender {

    private final String node;
    private final NodeAddress ownAddress;
    private final ControlReceiver localReceiver;
    private final PeerSender linkSender;

    LoopbackSender(
            final String node,
            final NodeAddress ownAddress,
            final ControlReceiver localReceiver,
            final PeerSender linkSender) {
        this.node = Objects.requireNonNull(node, "node");
        this.ownAddress = Objects.requireNonNull(ownAddress, "ownAddress");
        this.localReceiver = Objects.requireNonNull(localReceiver, "localReceiver");
        this.linkSender = Objects.requireNonNull(linkSender, "linkSender");
    }

    @Override
    public void send(final NodeAddress receiver, final ControlMessage message) {
        if (receiver.equals(ownAddress)) {
            localReceiver.receive(node, message);
        } else {
            linkSender.send(receiver, message);
        }
    }
}
