package org.sequoiashunt.peer;

/**
 * Message from one node's controller to another's. Implementations are immutable records with value equality; the link
 * module maps each to its wire form.
 */
public interface ControlMessage {}
