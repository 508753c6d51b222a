package org.sequoiashunt.fleet;

import java.util.Objects;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Control message that carries a node's configuration to another node. Immutable and thread-safe.
 *
 * @param version the version of the configuration.
 * @param document the operator's configuration document, unchanged as it was read.
 */
public record ConfigurationCopy(long version, Body document) implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the document is null.
     */
    public ConfigurationCopy {
        Objects.requireNonNull(document, "document");
    }
}
