package org.sequoiashunt.node.mesh;

import java.util.OptionalLong;
import org.sequoiashunt.target.TargetAnnouncement;

/** Decodes what targets send to their node. Implementations are stateless and thread-safe. */
public interface AnnouncementDecoder {

    /**
     * Finds the target that a request is about.
     *
     * @param path the path of the request, not null.
     * @return the identity, or null if the path is not that of an announcement.
     */
    String targetOf(String path);

    /**
     * Decodes an announcement.
     *
     * @param target the identity from the path, not null.
     * @param body the body, not null.
     * @return the announcement, never null.
     * @throws AnnouncementRefusedException if it does not describe a target.
     */
    TargetAnnouncement decode(String target, byte[] body) throws AnnouncementRefusedException;

    /**
     * Decodes the start of the incarnation that a farewell is about.
     *
     * @param body the body, not null; may be empty.
     * @return the time of start, or empty if it is not stated.
     */
    OptionalLong bornMs(byte[] body);
}
