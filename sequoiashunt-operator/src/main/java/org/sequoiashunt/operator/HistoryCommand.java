package org.sequoiashunt.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.util.Optional;
import org.sequoiashunt.commit.CommitRecord;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.store.StoreException;

/**
 * Command {@code history}: lists commits, newest first, with author, time, changes and the outcome of each move.
 * Confined to one thread.
 */
@Parameters(commandDescription = "List commits: who, when, what changed, and what became of each move")
final class HistoryCommand implements Command {

    private static final int MAXIMUM_LIMIT = 1_000;

    /** Maximum number of records searched for changes of one service: the commits of two days. */
    private static final int MAXIMUM_SEARCHED_RECORDS = 5_000;

    @Parameter(names = "--service", description = "Only commits that changed this service", order = 1)
    private String service;

    @Parameter(names = "--limit", description = "How many commits to list, from 1 to " + MAXIMUM_LIMIT, order = 2)
    private int limit = 10;

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
        if (limit < 1 || limit > MAXIMUM_LIMIT) {
            throw new UsageException("--limit takes 1 to " + MAXIMUM_LIMIT);
        }
        StoreView view = new StoreView(store.connect(environment), environment);
        return list(view);
    }

    private CommandResult list(final StoreView view) throws StoreException, ConfigurationException {
        CommitRecord current = view.readCurrentRecord();
        HistoryFormatter formatter = new HistoryFormatter(view, current, Optional.ofNullable(service));
        Optional<CommitRecord> record = Optional.of(current);
        int listed = 0;
        for (int searched = 0;
                record.isPresent() && listed < limit && searched < MAXIMUM_SEARCHED_RECORDS;
                searched++) {
            try {
                Optional<CommitRecord> previous = view.readPreviousRecord(record.get());
                listed += formatter.append(record.get(), previous) ? 1 : 0;
                record = previous;
            } catch (ConfigurationException exception) {
                String reason = "version " + record.get().version() + " and what is before it cannot be shown: "
                        + exception.getMessage() + "\n";
                return new CommandResult(ExitCode.REFUSED, formatter.toString(), reason);
            }
        }
        if (listed == 0) {
            return CommandResult.failure(ExitCode.REFUSED, "no commit changed service '" + service + "'\n");
        }
        return CommandResult.success(formatter.toString());
    }
}
