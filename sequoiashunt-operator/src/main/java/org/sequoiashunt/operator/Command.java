package org.sequoiashunt.operator;

import java.io.IOException;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.manifest.ManifestException;
import org.sequoiashunt.store.StoreException;

/**
 * One command with its options. An instance is filled from the command line, run once and dropped; confined to one
 * thread.
 */
interface Command {

    /** Tells whether the options ask for help only. */
    boolean helpRequested();

    /**
     * Runs the command.
     *
     * @throws UsageException if the options do not fit together.
     * @throws ManifestException if a manifest is invalid.
     * @throws ConfigurationException if the store holds something that cannot be read.
     * @throws StoreException if the store did not answer.
     * @throws IOException if a file cannot be read.
     */
    CommandResult run(OperatorEnvironment environment)
            throws UsageException, ManifestException, ConfigurationException, StoreException, IOException;
}
