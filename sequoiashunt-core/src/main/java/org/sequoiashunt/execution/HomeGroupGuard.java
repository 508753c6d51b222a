package org.sequoiashunt.execution;

import org.sequoiashunt.blackboard.Controller;

/**
 * Part of a node in one home group: guard of claims, and upkeep of the roster. Immutable.
 *
 * @param guard the guard, ticked on the control thread.
 * @param rosterController the upkeep of the roster, ticked on a thread that may block on the store.
 */
record HomeGroupGuard(ClaimGuard guard, Controller rosterController) {}
