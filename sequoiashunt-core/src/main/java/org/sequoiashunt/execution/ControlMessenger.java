package org.sequoiashunt.execution;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;

/**
 * Sends control messages to nodes by name. A message to a node whose address is unknown is dropped without an
 * error, like a message lost on the network.
 *
 * <p>Thread-safe if its sender and directory are. The sender must also deliver messages addressed to the local node.
 */
public final class ControlMessenger {

    private final PeerSender sender;
    private final Function<String, Optional<NodeAddress>> directory;

    /**
     * Creates a messenger.
     *
     * @param sender sends messages to link addresses, not null.
     * @param directory finds the link address of a node by its name, not null.
     */
    public ControlMessenger(final PeerSender sender, final Function<String, Optional<NodeAddress>> directory) {
        this.sender = Objects.requireNonNull(sender, "sender");
        this.directory = Objects.requireNonNull(directory, "directory");
    }

    /**
     * Sends a message.
     *
     * @param node the name of the receiving node, not null.
     * @param message the message, not null.
     */
    public void send(final String node, final ControlMessage message) {
        directory.apply(node).ifPresent(address -> sender.send(address, message));
    }
}
