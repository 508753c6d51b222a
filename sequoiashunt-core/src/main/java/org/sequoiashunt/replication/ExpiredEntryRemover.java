package org.sequoiashunt.replication;

import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.execution.QuarantinedRequest;

/**
 * Removes quarantined requests after their expiry time, and detects expired ones that peers deliver again.
 *
 * <p>Confined to one thread.
 */
final class ExpiredEntryRemover {

    private final Blackboard blackboard;

    ExpiredEntryRemover(final Blackboard blackboard) {
        this.blackboard = blackboard;
    }

    boolean isExpired(final Entry entry, final long nowMs) {
        return entry.value() instanceof QuarantinedRequest request && request.expiresMs() <= nowMs;
    }

    void removeExpired(final long nowMs) {
        for (Entry entry : blackboard.entries(Section.QUARANTINE)) {
            if (isExpired(entry, nowMs)) {
                blackboard.remove(entry.key(), entry.version());
            }
        }
    }
}
