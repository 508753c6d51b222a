package org.sequoiashunt.commit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiashunt.commit.CommitResult.Outcome;
import org.sequoiashunt.commit.FaultyStore.Fault;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.ConfigurationSource.RevisedHead;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreKeys;

final class ConfigurationCommitterTest {

    private static final int FOREVER = Integer.MAX_VALUE;

    /** Calls of the repeated swap and of the reads that follow a conflict. */
    private static final int MAXIMUM_CALLS_AFTER_SWAP = 4;

    private final CommitterFixture fixture = new CommitterFixture();

    @Test
    void committedConfigurationIsReadBack() throws Exception {
        assertEquals(Outcome.COMMITTED, fixture.commit("first", "1").outcome());
        CommitResult second = fixture.commit("second", "2");
        assertEquals(2, second.record().orElseThrow().version());
        StoredConfiguration source = StoredConfiguration.of(fixture.store);
        RevisedHead head = source.awaitHead(0, 0).orElseThrow();
        assertEquals("second", head.head().commitId());
        String digest = head.head().parts().get("registry-desk");
        assertEquals(CommitterFixture.service("registry-desk", "2"), source.readPart(digest));
        assertTrue(source.awaitHead(head.revision(), 0).isEmpty());
    }

    @Test
    void identicalContentReportsUnchanged() throws Exception {
        fixture.commit("first", "1");
        CommitResult result = fixture.commit("second", "1");
        assertEquals(Outcome.UNCHANGED, result.outcome());
        assertEquals("first", result.record().orElseThrow().commitId());
    }

    @Test
    void repeatedCommitReturnsEarlierRecordAfterLaterCommits() throws Exception {
        fixture.commit("first", "1");
        fixture.commit("second", "2");
        CommitResult repeated = fixture.commit("first", "1");
        assertEquals(Outcome.COMMITTED, repeated.outcome());
        assertEquals(1, repeated.record().orElseThrow().version());
        assertEquals(1, fixture.countCommits("first"));
    }

    @Test
    void newCommitIdIsNotSearchedInHistory() throws Exception {
        fixture.commit("first", "1");
        fixture.commit("second", "2");
        long before = fixture.store.readCount();
        CommitRequest repeatedRequest = CommitterFixture.request("third", "3");
        CommitRequest newRequest = new CommitRequest(
                repeatedRequest.groups(),
                repeatedRequest.services(),
                "author",
                "message",
                "third",
                false,
                repeatedRequest.expectedVersion());
        assertEquals(
                Outcome.COMMITTED,
                fixture.committer(fixture.store).commit(newRequest).outcome());
        long readsOfHeadRecordAndParts = 3;
        long readsOfChangedParts = 1;
        assertEquals(readsOfHeadRecordAndParts + readsOfChangedParts, fixture.store.readCount() - before);
    }

    @Test
    void commitIdUsedForAnotherConfigurationIsRefused() throws Exception {
        fixture.commit("first", "1");
        assertThrows(ConfigurationException.class, () -> fixture.commit("first", "2"));
    }

    @Test
    void outdatedExpectedVersionLosesRaceWithoutWriting() throws Exception {
        fixture.commit("first", "1");
        fixture.commit("second", "2");
        long writes = fixture.store.writeCount();
        CommitResult result =
                fixture.committer(fixture.store).commit(CommitterFixture.request("third", "3", OptionalLong.of(1)));
        assertEquals(Outcome.LOST_RACE, result.outcome());
        assertEquals("second", result.record().orElseThrow().commitId());
        assertEquals(writes, fixture.store.writeCount());
    }

    @Test
    void unreadableHeadIsReportedAndKept() throws Exception {
        long revision =
                fixture.store.compareAndSwap(StoreKeys.CONFIGURATION_HEAD_KEY, Store.ABSENT_REVISION, new byte[] {'{'});
        assertThrows(ConfigurationException.class, () -> fixture.commit("first", "1"));
        assertEquals(
                revision,
                fixture.store
                        .read(StoreKeys.CONFIGURATION_HEAD_KEY)
                        .orElseThrow()
                        .revision());
    }

    @ParameterizedTest
    @EnumSource
    void faultInOneCallDoesNotPreventCommit(final Fault fault) throws Exception {
        for (int call = 1; call <= callsOfCommit(); call++) {
            Outcome outcome = commitWithFault(fault, call, call);
            assertEquals(Outcome.COMMITTED, outcome, fault + " at call " + call);
        }
    }

    @ParameterizedTest
    @EnumSource
    void permanentFaultReportsCorrectOutcome(final Fault fault) throws Exception {
        Set<Outcome> seen = EnumSet.noneOf(Outcome.class);
        for (int call = 1; call <= callsOfCommit(); call++) {
            seen.add(commitWithFault(fault, call, FOREVER));
        }
        Set<Outcome> expected =
                switch (fault) {
                    case DOWN -> EnumSet.of(Outcome.NOT_COMMITTED);
                    case ANSWER_LOST -> EnumSet.of(Outcome.COMMITTED);
                    case SLOW -> EnumSet.of(Outcome.NOT_COMMITTED, Outcome.NOT_KNOWN);
                };
        assertEquals(expected, seen);
    }

    /** Makes one commit during a fault, checks the outcome against the store, then repeats the commit. */
    private Outcome commitWithFault(final Fault fault, final int firstCall, final int lastCall) throws Exception {
        CommitterFixture freshFixture = new CommitterFixture();
        freshFixture.commit("before", "1");
        FaultyStore faulty = new FaultyStore(freshFixture.store, fault, firstCall, lastCall);
        CommitRequest request = CommitterFixture.request("own", "2");
        Outcome outcome = freshFixture.committer(faulty).commit(request).outcome();
        faulty.applyPendingWrites();
        String where = fault + " from call " + firstCall + " to " + lastCall;
        if (outcome != Outcome.NOT_KNOWN) {
            assertEquals(outcome == Outcome.COMMITTED ? 1 : 0, freshFixture.countCommits("own"), where);
        }
        assertEquals(
                Outcome.COMMITTED,
                freshFixture.committer(freshFixture.store).commit(request).outcome(),
                where);
        assertEquals(1, freshFixture.countCommits("own"), where);
        return outcome;
    }

    @ParameterizedTest
    @EnumSource
    void concurrentCommitDuringFaultReportsCorrectOutcome(final Fault fault) throws Exception {
        for (int race = 1; race <= callsOfCommit() + MAXIMUM_CALLS_AFTER_SWAP; race++) {
            for (int call = 1; call <= callsOfCommit(); call++) {
                raceWithFault(fault, race, call);
            }
        }
    }

    private void raceWithFault(final Fault fault, final int raceCall, final int faultCall) throws Exception {
        CommitterFixture freshFixture = new CommitterFixture();
        freshFixture.commit("before", "1");
        FaultyStore faulty = new FaultyStore(freshFixture.store, fault, faultCall, faultCall);
        RacingStore racing = new RacingStore(faulty, raceCall, () -> freshFixture.commit("other", "3"));
        CommitResult result = freshFixture.committer(racing).commit(CommitterFixture.request("own", "2"));
        faulty.applyPendingWrites();
        String where = fault + " at call " + faultCall + ", race at call " + raceCall;
        assertEquals(racing.hasRaced() ? 1 : 0, freshFixture.countCommits("other"), where);
        long own = freshFixture.countCommits("own");
        assertEquals(result.outcome() == Outcome.COMMITTED ? 1 : 0, own, where);
        if (own == 0) {
            assertEquals(Outcome.LOST_RACE, result.outcome(), where);
            assertEquals("other", result.record().orElseThrow().commitId(), where);
        }
    }

    private static int callsOfCommit() throws Exception {
        CommitterFixture freshFixture = new CommitterFixture();
        freshFixture.commit("before", "1");
        FaultyStore counting = new FaultyStore(freshFixture.store, Fault.DOWN, FOREVER, FOREVER);
        freshFixture.committer(counting).commit(CommitterFixture.request("own", "2"));
        return counting.calls();
    }
}
