package org.sequoiashunt.blackboard;

/**
 * Told of each entry that the blackboard accepted. Implementations are thread-safe and return quickly.
 */
@FunctionalInterface
public interface BlackboardListener {

    /**
     * Called after an entry was merged and replaced what stood under its key.
     *
     * @param entry the entry, never null.
     */
    void entryAccepted(Entry entry);
}
