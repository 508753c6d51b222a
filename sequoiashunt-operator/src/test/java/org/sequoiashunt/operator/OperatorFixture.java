package org.sequoiashunt.operator;

import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import org.approvaltests.Approvals;
import org.sequoiashunt.commit.StoredMoveRegistry;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.rollout.Stage;
import org.sequoiashunt.store.MemoryStore;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.time.SteppedClock;

/**
 * Runs command lines against an in-memory store; the clock advances only in pauses or when a test advances it. Confined
 * to one thread.
 */
final class OperatorFixture {

    static final String STORE = "127.0.0.1:7000";

    final SteppedClock clock =
            SteppedClock.of(Instant.parse("2026-12-04T07:00:00Z").toEpochMilli());
    final MemoryStore store = MemoryStore.of(clock);
    private final StringBuilder notices = new StringBuilder();
    private final OperatorCommandLine operator = OperatorCommandLine.of(new OperatorEnvironment(
            clock,
            new SplittableRandom(5),
            clock::advance,
            address -> store,
            Optional.of(STORE),
            line -> notices.append(line).append('\n')));

    CommandResult run(final String... arguments) {
        return operator.run(arguments);
    }

    CommandResult commit(final String manifest, final String commitId, final String... additionalArguments) {
        String[] commonArguments = {
            "commit",
            manifestPath(manifest),
            "--author",
            "author of " + commitId,
            "--message",
            "Why " + commitId,
            "--commit-id",
            commitId
        };
        String[] arguments = new String[commonArguments.length + additionalArguments.length];
        System.arraycopy(commonArguments, 0, arguments, 0, commonArguments.length);
        System.arraycopy(additionalArguments, 0, arguments, commonArguments.length, additionalArguments.length);
        return run(arguments);
    }

    static String manifestPath(final String manifest) {
        return "src/test/resources/manifests/" + manifest + ".yaml";
    }

    void writeProgress(final String move, final Stage stage, final int shareParts, final String reason)
            throws StoreException {
        String service = move.substring(0, move.indexOf('_'));
        StoredMoveRegistry.of(store, clock).write(new RolloutProgress(move, service, stage, shareParts, reason));
    }

    void verify(final CommandResult... results) {
        StringBuilder text = new StringBuilder();
        for (CommandResult result : results) {
            text.append("exit code ").append(result.code().status()).append('\n');
            text.append("-- output\n").append(result.output());
            text.append("-- errors\n").append(result.errors());
        }
        Approvals.verify(text.append("-- notices\n").append(notices));
    }
}
