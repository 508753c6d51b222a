package org.sequoiashunt.configuration;

/**
 * Puts a version of the configuration in force on a node as a whole: compiles it and swaps one reference.
 */
@FunctionalInterface
public interface ConfigurationApplier {

    /**
     * Puts a version in force as a whole or not at all.
     *
     * @param snapshot the version, complete and checked, higher than all versions applied before, not null.
     * @throws ConfigurationException if the version cannot be put in force; the previous version then stays in force.
     */
    void apply(ConfigurationSnapshot snapshot) throws ConfigurationException;
}
