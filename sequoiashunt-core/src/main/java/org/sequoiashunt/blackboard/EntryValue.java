package org.sequoiashunt.blackboard;

/**
 * Content of an entry. Implementations are immutable records with value equality.
 */
public interface EntryValue {

    /**
     * Returns the section in which values of this type live.
     *
     * @return the section, never null.
     */
    Section section();
}
