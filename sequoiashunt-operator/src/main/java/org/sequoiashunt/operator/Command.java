package org.sequoiashunt.operator;

import java.io.IOException;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.manifest.ManifestException;
import org.sequoiashunt.store.StoreException;

/**
 * Subcommand with its options. An instance is filled from the command line and run once; confined to one thread.
 */
interface Command {

    /** Returns whether {@code --help} is given, in which case the command is not run. */
    boolean helpRequested();

    /**
     * Runs the command.
     *
     * @throws UsageException if an option is missing or invalid.
     * @throws ManifestException if a manifest is invalid.
     * @throws ConfigurationException if the stored configuration is missing or cannot be read.
     * @throws StoreException if the store did not answer.
     * @throws IOException if a file cannot be read.
     */
    CommandResult run(OperatorEnvironment environment)
            throws UsageException, ManifestException, ConfigurationException, StoreException, IOException;
}
