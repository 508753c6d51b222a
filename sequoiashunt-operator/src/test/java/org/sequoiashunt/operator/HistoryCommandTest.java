package org.sequoiashunt.operator;

import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.rollout.Stage;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoreKeys;

@UseReporter(QuietReporter.class)
final class HistoryCommandTest {

    private final OperatorFixture fixture = new OperatorFixture();

    @BeforeEach
    void commit() throws StoreException {
        fixture.commit("first", "c-1");
        fixture.clock.advance(60_000);
        fixture.commit("second", "c-2");
        fixture.writeProgress("press-floor_7_8_1796382000000", Stage.SHIFTING, 10_000, "begun");
        fixture.clock.advance(60_000);
        fixture.writeProgress("press-floor_7_8_1796382000000", Stage.WATCHING, 1_000_000, "no fault in 900 requests");
        fixture.writeProgress("press-floor_7_8_1796382000000", Stage.SEALED_DONE, 1_000_000, "no fault");
        fixture.writeProgress("registry-desk_2026.11_2026.12_1796378400000", Stage.SHIFTING, 250_000, "no fault yet");
        fixture.clock.advance(60_000);
        fixture.commit("third", "c-3");
    }

    @Test
    void historyListsChangesAndMoveOutcomes() {
        fixture.verify(fixture.run("history"));
    }

    @Test
    void unreadableRecordEndsTheList() throws StoreException {
        String first = StoreKeys.CONFIGURATION_VERSIONS_PREFIX + "1-c-1";
        long revision = fixture.store.read(first).orElseThrow().revision();
        fixture.store.compareAndSwap(first, revision, new byte[] {'!'});
        fixture.verify(fixture.run("history"));
    }

    @Test
    void serviceAndLimitOptionsRestrictTheList() {
        fixture.verify(
                fixture.run("history", "--service", "embossing"),
                fixture.run("history", "--service", "press-floor", "--limit", "2"),
                fixture.run("history", "--service", "unheard-of"));
    }
}
