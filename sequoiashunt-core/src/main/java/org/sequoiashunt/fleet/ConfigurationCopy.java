package org.sequoiashunt.fleet;

import java.util.Objects;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.peer.ControlMessage;

/**
 * A node's configuration for another node. Immutable and thread-safe.
 *
 * @param version the version.
 * @param document the operator's document, as it was read.
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
