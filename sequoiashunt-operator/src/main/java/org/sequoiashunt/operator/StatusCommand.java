package org.sequoiashunt.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import org.sequoiashunt.commit.JsonCodec;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.store.StoreException;

/**
 * Command {@code status}: prints the status of each move and of the accepted version in each failure domain. Confined
 * to one thread.
 */
@Parameters(commandDescription = "Tell where each move stands and where the accepted version is in force")
final class StatusCommand implements Command {

    @Parameter(names = "--json", description = "Print JSON, with times in milliseconds since the epoch", order = 1)
    private boolean json;

    @ParametersDelegate
    private final StoreOption store = new StoreOption();

    @ParametersDelegate
    private final HelpOption help = new HelpOption();

    @Override
    public boolean helpRequested() {
        return help.isRequested();
    }

    @Override
    public CommandResult run(final OperatorEnvironment environment)
            throws UsageException, ConfigurationException, StoreException, IOException {
        StoreView view = new StoreView(store.connect(environment), environment);
        StatusReport report = StatusReport.read(view, environment.clock().nowMs());
        return CommandResult.success(json ? JsonCodec.writePretty(report) + "\n" : StatusFormatter.format(report));
    }
}
