package org.sequoiashunt.blackboard;

/**
 * Content of an entry. Implementations are immutable records with value equality.
 */
public interface EntryValue {

    /**
     * Returns the section that holds values of this type.
     *
     * @return the section, never null.
     */
    Section section();
}
