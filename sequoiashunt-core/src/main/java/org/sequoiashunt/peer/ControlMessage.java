package org.sequoiashunt.peer;

/**
 * Message between the controllers of two nodes. Implementations are immutable records with value equality; the link
 * module maps each type to its wire format.
 */
public interface ControlMessage {}
