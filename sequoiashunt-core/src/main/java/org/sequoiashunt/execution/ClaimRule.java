package org.sequoiashunt.execution;

import java.util.EnumSet;
import java.util.Set;

/**
 * Rules that together let a key run at most once. All are on in production; a test switches one off to show that it is
 * necessary.
 *
 * <p>Immutable and thread-safe.
 */
public enum ClaimRule {
    /** A call is dispatched only after a majority of the key's guards granted it; without it, after one of them. */
    MAJORITY,
    /** A guard's grant counts only when its history of the key is complete over the retention window. */
    COMPLETE_HISTORY,
    /** A history is complete only for keys of which the node was a guard in each epoch within the window. */
    KEY_HISTORY,
    /** A history is complete only if majorities of the key's guards now and in each epoch within the window overlap. */
    SHARED_MAJORITY,
    /** The first epoch begins with complete histories only at guards that saw the store without a roster. */
    FIRST_EPOCH_WITNESSED,
    /** A guard grants only while a majority of its roster answers its heartbeats at its own epoch. */
    FENCE,
    /** A guard grants only claims of its own epoch, and only when it is in the roster of that epoch. */
    EPOCH_CHECK,
    /** A roster is replaced only after a majority of it has adopted it. */
    SETTLED_EPOCH,
    /** An epoch adds one guard or removes one, so that majorities of neighbouring epochs share a guard. */
    SINGLE_CHANGE,
    /** A restarted guard takes part only after it has learned the epoch from the store or from a majority. */
    CONFIRMED_START,
    /** An attempt ends at its deadline: guards refuse it, and the entry checks its own clock before dispatch. */
    ATTEMPT_DEADLINE,
    /** An entry that was paused claims nothing for what it received before the pause. */
    ENTRY_PAUSE,
    /** Former home groups of a service are asked as well until the retention window has passed. */
    BOTH_HOMES,
    /** A full guard refuses new claims and forgets none. */
    REFUSE_WHEN_FULL;

    /**
     * Returns all rules.
     *
     * @return a new set.
     */
    public static Set<ClaimRule> all() {
        return EnumSet.allOf(ClaimRule.class);
    }

    /**
     * Returns all rules but one.
     *
     * @param rule the rule left out, not null.
     * @return a new set.
     */
    public static Set<ClaimRule> allBut(final ClaimRule rule) {
        return EnumSet.complementOf(EnumSet.of(rule));
    }
}
