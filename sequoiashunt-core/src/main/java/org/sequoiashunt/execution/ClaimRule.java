package org.sequoiashunt.execution;

import java.util.EnumSet;
import java.util.Set;

/**
 * Rules that together ensure that a call with an idempotency key runs at most once. Production enforces all of them; a
 * test disables one to show that the rule is necessary.
 *
 * <p>Immutable and thread-safe.
 */
public enum ClaimRule {
    /** A call needs grants of a majority of the key's guards; without this rule, one grant is enough. */
    MAJORITY,
    /** A guard's grant counts only when its history of the key is complete over the retention window. */
    COMPLETE_HISTORY,
    /** A history is complete only for keys that the node guarded in each epoch within the retention window. */
    KEY_HISTORY,
    /**
     * A history is complete only if every majority of the key's current guards overlaps with every majority of its
     * guards in each epoch within the retention window.
     */
    SHARED_MAJORITY,
    /** In the first epoch, only guards that have read the store before it held a roster have a complete history. */
    FIRST_EPOCH_WITNESSED,
    /** A guard grants only while a majority of its roster answers its heartbeats at the guard's epoch. */
    FENCE,
    /** A guard grants only claims that carry its current epoch, and only if the roster of that epoch lists it. */
    EPOCH_CHECK,
    /** A roster is replaced only after a majority of its guards has adopted it. */
    SETTLED_EPOCH,
    /** An epoch adds one guard or removes one, so that majorities of consecutive epochs share a guard. */
    SINGLE_CHANGE,
    /** A restarted guard grants only after it has learned the epoch from the store or from a majority of the guards. */
    CONFIRMED_START,
    /** After its deadline an attempt is refused by guards, and the entry checks its local clock before dispatch. */
    ATTEMPT_DEADLINE,
    /** An entry whose process was paused makes no claims for requests that it received before the pause. */
    ENTRY_PAUSE,
    /** Claims also need grants of the former home groups of a service until the retention window has passed. */
    BOTH_HOMES,
    /** A guard whose ledger is full refuses new claims instead of evicting retained ones. */
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
     * Returns all rules except one.
     *
     * @param rule the excluded rule, not null.
     * @return a new set.
     */
    public static Set<ClaimRule> allBut(final ClaimRule rule) {
        return EnumSet.complementOf(EnumSet.of(rule));
    }
}
