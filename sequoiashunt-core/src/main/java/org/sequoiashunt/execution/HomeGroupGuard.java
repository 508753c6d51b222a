package org.sequoiashunt.execution;

import org.sequoiashunt.blackboard.Controller;

/**
 * The two controllers with which a node serves one home group: the guard of claims and the maintenance of the roster.
 * Immutable.
 *
 * @param guard answers claims; ticked on the control thread.
 * @param rosterController maintains the roster; ticked on a thread that may block on the store.
 */
record HomeGroupGuard(ClaimGuard guard, Controller rosterController) {}
