package org.sequoiashunt.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicBoolean;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.store.StoreKeys;

@UseReporter(QuietReporter.class)
final class CommitCommandTest {

    private final OperatorFixture fixture = new OperatorFixture();

    @Test
    void successfulCommitPrintsVersionAndMoves() {
        CommandResult first = fixture.commit("first", "c-1");
        fixture.clock.advance(2 * 3_600_000);
        fixture.verify(first, fixture.commit("second", "c-2", "--expect", "1"));
    }

    @Test
    void missingCommitIdIsGeneratedAndPrintedBeforeTheCommit() {
        fixture.verify(fixture.run(
                "commit",
                OperatorFixture.manifestPath("first"),
                "--author",
                "a",
                "--message",
                "line\nbreak",
                "--store",
                "[::1]:9"));
    }

    @Test
    void repetitionAndIdenticalContentChangeNothing() {
        fixture.commit("first", "c-1");
        fixture.verify(fixture.commit("first", "c-1"), fixture.commit("first", "c-2"));
    }

    @Test
    void outdatedExpectedVersionReportsTheCurrentCommit() {
        fixture.commit("first", "c-1");
        fixture.commit("second", "c-2");
        fixture.verify(fixture.commit("third", "c-3", "--expect", "1"));
    }

    @Test
    void concurrentCommitIsReportedAsConflict() {
        fixture.commit("first", "c-1");
        AtomicBoolean conflictCommitted = new AtomicBoolean();
        fixture.store.addListener(key -> {
            if (key.equals(StoreKeys.CONFIGURATION_VERSIONS_PREFIX + "2-c-2")
                    && conflictCommitted.compareAndSet(false, true)) {
                fixture.commit("third", "c-3");
            }
        });
        fixture.verify(fixture.commit("second", "c-2"));
    }

    @Test
    void lostStoreAnswersDoNotChangeTheOutcome() {
        fixture.store.loseNextWriteAnswers(Integer.MAX_VALUE);
        fixture.verify(fixture.commit("first", "c-1"));
    }

    @Test
    void outageBeforeTheHeadIsWrittenCommitsNothing() {
        fixture.store.setAvailable(false);
        fixture.verify(fixture.commit("first", "c-1"));
    }

    @Test
    void outageAfterTheHeadIsWrittenIsReportedAsUnknownAndRepeatable() {
        fixture.store.loseNextWriteAnswers(Integer.MAX_VALUE);
        fixture.store.addListener(key -> fixture.store.setAvailable(!key.equals(StoreKeys.CONFIGURATION_HEAD_KEY)));
        CommandResult outcomeUnknown = fixture.commit("first", "c-1");
        fixture.store.setAvailable(true);
        fixture.verify(outcomeUnknown, fixture.commit("first", "c-1"));
    }

    @Test
    void invalidManifestLeavesTheStoreUnchanged() {
        assertEquals(ExitCode.REFUSED, fixture.commit("invalid", "c-1").code());
        assertEquals(0, fixture.store.readCount() + fixture.store.writeCount());
    }
}
