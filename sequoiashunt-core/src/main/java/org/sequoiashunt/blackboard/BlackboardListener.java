package org.sequoiashunt.blackboard;

/**
 * Receives each entry that the blackboard accepted. Implementations are thread-safe and return quickly.
 */
@FunctionalInterface
public interface BlackboardListener {

    /**
     * Called after an entry was merged and became the current entry of its key.
     *
     * @param entry the entry, never null.
     */
    void entryAccepted(Entry entry);
}
