package org.sequoiashunt.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import org.sequoiashunt.commit.CommitRecord;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.manifest.Manifest;
import org.sequoiashunt.manifest.ManifestException;
import org.sequoiashunt.manifest.SpellingSuggester;
import org.sequoiashunt.store.StoreException;

/**
 * Command {@code explain}: prints the route, versions, timeout and retry rules that apply to one request. Confined to
 * one thread.
 */
@Parameters(commandDescription = "Explain which route and version a request takes, and why")
final class ExplainCommand implements Command {

    @Parameter(names = "--service", description = "Service that is called", required = true, order = 1)
    private String service;

    @Parameter(names = "--method", description = "HTTP method", required = true, order = 2)
    private String method;

    @Parameter(names = "--path", description = "Path of the request", required = true, order = 3)
    private String path;

    @Parameter(names = "--manifest", description = "Explain by this file instead of the store", order = 4)
    private String manifestFile;

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
            throws UsageException, ManifestException, ConfigurationException, StoreException, IOException {
        if (!path.startsWith("/")) {
            throw new UsageException("--path must start with a slash");
        }
        return manifestFile == null ? explainByStore(environment) : explainByManifest(environment);
    }

    private CommandResult explainByStore(final OperatorEnvironment environment)
            throws UsageException, ConfigurationException, StoreException, IOException {
        StoreView view = new StoreView(store.connect(environment), environment);
        CommitRecord record = view.readCurrentRecord();
        Optional<ServiceConfiguration> configuration = view.readService(record, service);
        if (configuration.isEmpty()) {
            return reportUnknownService(record.parts().keySet());
        }
        return explain(configuration.get(), "version " + record.version(), readMoveStatus(configuration.get(), view));
    }

    private CommandResult explainByManifest(final OperatorEnvironment environment)
            throws UsageException, ManifestException, StoreException, IOException {
        Manifest manifest = ManifestFile.read(manifestFile);
        ServiceConfiguration configuration = manifest.services().get(service);
        if (configuration == null) {
            return reportUnknownService(manifest.services().keySet());
        }
        Optional<MoveStatus> progress = Optional.empty();
        if (store.isConfigured(environment)) {
            progress = readMoveStatus(configuration, new StoreView(store.connect(environment), environment));
        }
        return explain(configuration, manifestFile, progress);
    }

    private static Optional<MoveStatus> readMoveStatus(final ServiceConfiguration configuration, final StoreView view)
            throws StoreException {
        Optional<Move> move = configuration.move();
        return move.isEmpty()
                ? Optional.empty()
                : Optional.of(view.readMoveStatus(configuration.service(), move.get()));
    }

    private CommandResult explain(
            final ServiceConfiguration configuration, final String source, final Optional<MoveStatus> progress) {
        RequestExplanation explanation = new RequestExplanation(configuration, method.toUpperCase(Locale.ROOT), path);
        String title = explanation.describeRequest() + " by " + source + "\n";
        return explanation.hasMatchingRoute()
                ? CommandResult.success(title + explanation.describe(progress))
                : CommandResult.failure(ExitCode.REFUSED, title + explanation.describeMismatch());
    }

    private CommandResult reportUnknownService(final Collection<String> serviceNames) {
        String hint = SpellingSuggester.suggest(service, serviceNames)
                .map(name -> "; did you mean " + name + "?")
                .orElse("");
        return CommandResult.failure(
                ExitCode.REFUSED,
                "there is no service '" + ValueFormatter.replaceControlCharacters(service) + "'" + hint + "\n");
    }
}
