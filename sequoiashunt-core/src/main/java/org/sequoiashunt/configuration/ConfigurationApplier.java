package org.sequoiashunt.configuration;

/**
 * Puts a whole version of the configuration in force on a node: compiles it and swaps one reference.
 */
@FunctionalInterface
public interface ConfigurationApplier {

    /**
     * Puts a version in force, wholly or not at all.
     *
     * @param snapshot the version, complete and checked, higher than every one before it, not null.
     * @throws ConfigurationException if the version cannot be put in force; the one before it then stays in force.
     */
    void apply(ConfigurationSnapshot snapshot) throws ConfigurationException;
}
