package org.sequoiashunt.trial.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiashunt.commit.HttpStore;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.operator.CommandResult;
import org.sequoiashunt.operator.ExitCode;
import org.sequoiashunt.operator.OperatorCommandLine;
import org.sequoiashunt.operator.OperatorEnvironment;
import org.sequoiashunt.time.SteppedClock;

/** Tests operator commands against a faulty store over HTTP; pauses advance a stepped clock. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
final class OperatorOverHttpTest {

    private static final long CALL_TIMEOUT_MS = 20_000;
    private static final int SERVICES = 230;
    private static final String SERVICE = """
              service-%d:
                version: "%d"
                routes: [{name: all, path: /, methods: [GET], idempotent: true, timeout: 1000}]
            """;

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final Closer closer = new Closer();
    private final FakeStoreServer fakeStore =
            closer.register(FakeStoreServer.startOnLoopback(new StoreRates(200, 40), clock));
    private final OperatorCommandLine operator = OperatorCommandLine.of(new OperatorEnvironment(
            clock,
            new SplittableRandom(3),
            clock::advance,
            address -> HttpStore.open(address, CALL_TIMEOUT_MS, closer),
            Optional.of(fakeStore.address().toString()),
            notice -> {}));

    @TempDir
    private Path directory;

    @AfterEach
    void stop() throws Exception {
        closer.close();
    }

    @Test
    void largeManifestIsCommittedDespiteRateRefusals() throws IOException {
        assertEquals(ExitCode.OK, commit("first", SERVICES, 1).code());
        assertTrue(fakeStore.counts().rateRefusals() > 0);
        CommandResult status = operator.run("status");
        assertTrue(status.output().startsWith("version 1 by somebody"), status.errors());
    }

    @Test
    void repeatedCommitAfterLostAnswersCreatesNoSecondVersion() throws IOException {
        fakeStore.faults().loseAnswers(Integer.MAX_VALUE);
        assertEquals(ExitCode.OK, commit("first", 2, 1).code());
        assertEquals(ExitCode.OK, commit("first", 2, 1).code());
        fakeStore.faults().loseAnswers(0);
        assertTrue(commit("second", 2, 2).output().startsWith("committed as version 2 "));
    }

    @Test
    void outageExitsWithStoreUnavailable() throws IOException {
        fakeStore.faults().setDown(true);
        assertEquals(ExitCode.STORE_UNAVAILABLE, commit("first", 2, 1).code());
        assertEquals(ExitCode.STORE_UNAVAILABLE, operator.run("history").code());
    }

    private CommandResult commit(final String commitId, final int services, final int version) throws IOException {
        StringBuilder manifest = new StringBuilder("services:\n");
        for (int service = 0; service < services; service++) {
            manifest.append(SERVICE.formatted(service, version));
        }
        Path file = Files.writeString(directory.resolve("manifest.yaml"), manifest);
        return operator.run(
                "commit", file.toString(), "--author", "somebody", "--message", "m", "--commit-id", commitId);
    }
}
