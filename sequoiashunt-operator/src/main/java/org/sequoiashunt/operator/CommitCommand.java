package org.sequoiashunt.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.util.HexFormat;
import java.util.OptionalLong;
import org.sequoiashunt.commit.CommitRequest;
import org.sequoiashunt.commit.CommitResult;
import org.sequoiashunt.commit.ConfigurationCommitter;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.manifest.Manifest;
import org.sequoiashunt.manifest.ManifestException;
import org.sequoiashunt.store.Store;

/**
 * Command {@code commit}: stores a manifest as the next accepted configuration version. Confined to one thread.
 */
@Parameters(commandDescription = "Put a manifest in force; safe to repeat with the same --commit-id")
final class CommitCommand implements Command {

    private static final int COMMIT_ID_BYTES = 8;
    private static final int MAXIMUM_AUTHOR_LENGTH = 200;
    private static final int MAXIMUM_MESSAGE_LENGTH = 2_000;

    @Parameter(description = "FILE", required = true)
    private String file;

    @Parameter(names = "--author", description = "Who makes the change", required = true, order = 1)
    private String author;

    @Parameter(names = "--message", description = "Why the change is made", required = true, order = 2)
    private String message;

    @Parameter(names = "--commit-id", description = "Identity of the commit, to repeat one", order = 3)
    private String commitId;

    @Parameter(names = "--expect", description = "Version that the change is based on", order = 4)
    private Long expectedVersion;

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
            throws UsageException, ManifestException, ConfigurationException, IOException {
        checkOptions();
        Manifest manifest = ManifestFile.read(file);
        Store connectedStore = store.connect(environment);
        CommitRequest request = createRequest(manifest, environment);
        environment.notices().accept("commit id " + request.commitId());
        CommitResult result = ConfigurationCommitter.of(connectedStore, environment.clock(), environment::startRetry)
                .commit(request);
        return CommitResultFormatter.describe(result, request, ManifestFile.formatWarnings(manifest));
    }

    private void checkOptions() throws UsageException {
        if (author.isBlank() || author.length() > MAXIMUM_AUTHOR_LENGTH) {
            throw new UsageException("--author takes 1 to " + MAXIMUM_AUTHOR_LENGTH + " characters");
        }
        if (message.isBlank() || message.length() > MAXIMUM_MESSAGE_LENGTH) {
            throw new UsageException("--message takes 1 to " + MAXIMUM_MESSAGE_LENGTH + " characters");
        }
        if (commitId != null && !CommitRequest.isCommitId(commitId)) {
            throw new UsageException("--commit-id takes up to 64 letters, digits and hyphens");
        }
        if (expectedVersion != null && expectedVersion < 0) {
            throw new UsageException("--expect takes a version, or 0 for an empty store");
        }
    }

    private CommitRequest createRequest(final Manifest manifest, final OperatorEnvironment environment) {
        return new CommitRequest(
                manifest.groups(),
                manifest.services(),
                ValueFormatter.replaceControlCharacters(author),
                ValueFormatter.replaceControlCharacters(message),
                commitId == null ? generateCommitId(environment) : commitId,
                commitId != null,
                expectedVersion == null ? OptionalLong.empty() : OptionalLong.of(expectedVersion));
    }

    private static String generateCommitId(final OperatorEnvironment environment) {
        byte[] bytes = new byte[COMMIT_ID_BYTES];
        environment.random().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
