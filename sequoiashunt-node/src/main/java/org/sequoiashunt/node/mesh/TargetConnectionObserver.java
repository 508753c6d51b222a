package org.sequoiashunt.node.mesh;

/**
 * Receives the events of the connections to targets.
 *
 * <p>Methods are called on the event loop of the connection and must not block.
 */
interface TargetConnectionObserver {

    /** Ignores all events. */
    TargetConnectionObserver NONE = new TargetConnectionObserver() {
        @Override
        public void connectionClosed(
                final TargetConnection connection, final ConnectionEnd end, final AnswerTrace trace) {
            // Nothing to report.
        }

        @Override
        public void answerSkipped(final TargetConnection connection, final AnswerTrace trace) {
            // Nothing to report.
        }
    };

    /**
     * Called once for each connection when it is closed.
     *
     * @param connection the connection, not null.
     * @param end why it is closed, not null.
     * @param trace what was received last and is the reason for the end, not null.
     */
    void connectionClosed(TargetConnection connection, ConnectionEnd end, AnswerTrace trace);

    /**
     * Called when a complete answer to an earlier request of the connection has been passed over.
     *
     * @param connection the connection, not null.
     * @param trace the answer, not null.
     */
    void answerSkipped(TargetConnection connection, AnswerTrace trace);
}
