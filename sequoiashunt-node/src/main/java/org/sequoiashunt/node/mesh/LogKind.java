package org.sequoiashunt.node.mesh;

/** Kinds of lines in the decision log, with their labels and limits per second. Immutable and thread-safe. */
public enum LogKind {
    /** The node has started. */
    START("start", 10),
    /** The node drains or has drained. */
    STOP("stop", 10),
    /** Changed settings were applied or refused. */
    RELOAD("reload", 10),
    /** A configuration was activated or refused. */
    CONFIGURATION("configuration", 20),
    /** A target joined, drains or left. */
    TARGET("target", 20),
    /** An announcement was outdated or could not be decoded. */
    ANNOUNCEMENT_IGNORED("announcement-ignored", 5),
    /** An invalid entry of a configuration was left out. */
    CONFIGURATION_ENTRY("configuration-entry", 20),
    /** A report arrived from a node that is new, has restarted or was silent. */
    PEER("peer", 20),
    /** A target crashed, or a request that crashes targets was refused. */
    CRASH("crash", 10),
    /** Another node divides the limits of organisations among the nodes. */
    QUOTA("quota", 10),
    /** The platform's store became unavailable or available again. */
    STORE("store", 10),
    /** A move of traffic was ordered, advanced or ended. */
    MOVE("move", 10),
    /** A failure domain is evacuated, or no longer. */
    EVACUATION("evacuation", 10),
    /** A target was chosen for a request. */
    PLACED("placed", 5),
    /** An attempt to run a request got no complete answer; another attempt may follow. */
    ATTEMPT("attempt", 30),
    /** An attempt was withdrawn from the gate of its target because this node stops. */
    WITHDRAWN("withdrawn", 20),
    /** A connection to a target was closed for a fault. */
    TARGET_CONNECTION("target-connection", 20),
    /** A target's answer to an earlier request was passed over. */
    ANSWER_SKIPPED("answer-skipped", 20),
    /** A gate refused a call. */
    GATE_REFUSED("gate-refused", 20),
    /** A request was answered by its target. */
    ANSWERED("answered", 5),
    /** A request was refused without having run. */
    REFUSED("refused", 40),
    /** A request ended without an answer and may have run. */
    FAILED("failed", 40),
    /** A caller disconnected before the answer. */
    CALLER_LEFT("caller-left", 10),
    /** Lines were dropped because the buffer of the log was full. */
    LOG_DROPPED("log-dropped", 5),
    /** Input was refused before a request was read, to keep the memory of all input within its limits. */
    INPUT_REFUSED("input-refused", 10);

    private final String label;
    private final int linesPerSecond;

    LogKind(final String label, final int linesPerSecond) {
        this.label = label;
        this.linesPerSecond = linesPerSecond;
    }

    String label() {
        return label;
    }

    int linesPerSecond() {
        return linesPerSecond;
    }
}
