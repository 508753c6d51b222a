package org.sequoiashunt.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import org.sequoiashunt.manifest.Manifest;
import org.sequoiashunt.manifest.ManifestException;

/**
 * Command {@code validate}: checks a manifest without access to the store. Confined to one thread.
 */
@Parameters(commandDescription = "Check a manifest; all problems are listed with their lines")
final class ValidateCommand implements Command {

    @Parameter(description = "FILE", required = true)
    private String file;

    @ParametersDelegate
    private final HelpOption help = new HelpOption();

    @Override
    public boolean helpRequested() {
        return help.isRequested();
    }

    @Override
    public CommandResult run(final OperatorEnvironment environment) throws ManifestException, IOException {
        Manifest manifest = ManifestFile.read(file);
        String output = file + ": valid, "
                + ValueFormatter.formatCount(manifest.services().size(), "service") + ", "
                + ValueFormatter.formatCount(manifest.groups().size(), "home group") + "\n";
        return new CommandResult(ExitCode.OK, output, ManifestFile.formatWarnings(manifest));
    }
}
