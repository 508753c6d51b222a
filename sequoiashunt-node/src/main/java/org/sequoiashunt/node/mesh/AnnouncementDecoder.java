package org.sequoiashunt.node.mesh;

import java.util.OptionalLong;
import org.sequoiashunt.target.TargetAnnouncement;

/** Decodes the announcements that targets send to their node. Implementations are stateless and thread-safe. */
public interface AnnouncementDecoder {

    /**
     * Extracts the target's identity from the path of a request.
     *
     * @param path the request path, not null.
     * @return the identity of the target, or null if the path is not an announcement path.
     */
    String targetOf(String path);

    /**
     * Decodes an announcement.
     *
     * @param target the identity of the target, taken from the path, not null.
     * @param body the request body, not null.
     * @return the announcement, never null.
     * @throws AnnouncementRefusedException if the body does not describe a target.
     */
    TargetAnnouncement decode(String target, byte[] body) throws AnnouncementRefusedException;

    /**
     * Decodes the start time of the target process whose departure a request announces.
     *
     * @param body the request body, not null; may be empty.
     * @return the start time in milliseconds, or empty if the body does not state it.
     */
    OptionalLong decodeStartTimeMs(byte[] body);
}
