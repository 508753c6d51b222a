package org.sequoiashunt.link;

/**
 * Memory limits that the connections of an event loop share. Confined to the event loop.
 *
 * @param partialFrames the buffers of incompletely received frames.
 * @param unread the written frames that the peers have not read.
 */
record LinkBudgets(ConnectionBudget partialFrames, ConnectionBudget unread) {

    static LinkBudgets of(final LinkLimits limits) {
        return new LinkBudgets(
                new ConnectionBudget(limits.maximumPartialFrameBytes()),
                new ConnectionBudget(limits.maximumUnreadBytes()));
    }
}
