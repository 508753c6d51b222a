package org.sequoiashunt.operator;

import java.util.List;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.commit.CommitLog;
import org.sequoiashunt.commit.CommitRecord;
import org.sequoiashunt.commit.StoredDomainRegistry;
import org.sequoiashunt.membership.DomainSummary;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.rollout.Stage;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoreKeys;

@UseReporter(QuietReporter.class)
final class StatusCommandTest {

    private static final String EMBOSSING = "embossing_1_2_1796371200000";
    private static final String PRESS = "press-floor_7_8_1796382000000";
    private static final String REGISTRY = "registry-desk_2026.11_2026.12_1796378400000";
    private static final long HOUR_MS = 3_600_000;

    private final OperatorFixture fixture = new OperatorFixture();

    @BeforeEach
    void commit() {
        fixture.commit("first", "c-1");
        fixture.commit("second", "c-2");
    }

    @Test
    void movesNotStartedAndDomainsWithoutReportAreListed() {
        fixture.clock.advance(HOUR_MS + 90_000);
        fixture.verify(fixture.run("status"));
    }

    @Test
    void movesUnderWayAndDomainsInEveryStateAreListed() throws StoreException {
        fixture.writeProgress(REGISTRY, Stage.SHIFTING, 50_000, "1,204 requests seen, no fault");
        fixture.writeProgress(PRESS, Stage.WATCHING, 1_000_000, "no fault so far");
        fixture.writeProgress(EMBOSSING, Stage.SHIFTING, 2_500, "only 3 requests\nseen");
        fixture.clock.advance(2 * HOUR_MS);
        report("ha-noi-a", 2, 2, 0);
        report("hai-phong-b", 1, 2, 0, "node-4: part is missing");
        report("sai-gon-a", 1, 1, 45_000);
        report("thimi", 0, 0, 0);
        fixture.verify(fixture.run("status"), fixture.run("status", "--json"));
    }

    @Test
    void finishedMovesAreListedWithTheirOutcome() throws StoreException {
        fixture.writeProgress(PRESS, Stage.WATCHING, 1_000_000, "no fault so far");
        fixture.clock.advance(2 * HOUR_MS);
        fixture.writeProgress(PRESS, Stage.SEALED_DONE, 1_000_000, "no fault in 40,000 requests");
        fixture.writeProgress(EMBOSSING, Stage.SEALED_DONE, 1_000_000, "no fault in 12 requests");
        fixture.writeProgress(REGISTRY, Stage.TAKEN_BACK, 0, "route lookup failed 9 of 80 requests, 2 of 1,500 before");
        fixture.clock.advance(2 * HOUR_MS);
        fixture.verify(fixture.run("status"));
    }

    @Test
    void unreadableValuesDoNotHideOtherValuesAndOutageIsAnError() throws Exception {
        fixture.store.compareAndSwap(StoreKeys.MOVES_PREFIX + PRESS, Store.ABSENT_REVISION, new byte[] {'['});
        fixture.store.compareAndSwap(StoreKeys.DOMAINS_PREFIX + "thimi", Store.ABSENT_REVISION, new byte[] {'{', '}'});
        report("ha-noi-a", 3, 3, 0);
        damagePart("embossing");
        CommandResult unreadable = fixture.run("status");
        fixture.store.setAvailable(false);
        fixture.verify(unreadable, fixture.run("status"));
    }

    @Test
    void emptyStoreIsReportedAsNoConfiguration() {
        OperatorFixture empty = new OperatorFixture();
        empty.verify(empty.run("status"));
    }

    private void damagePart(final String service) throws Exception {
        CommitLog log = CommitLog.of(fixture.store);
        CommitRecord record =
                log.readRecord(log.readHead().orElseThrow().document().record());
        String key = StoreKeys.CONFIGURATION_PARTS_PREFIX + record.parts().get(service);
        long revision = fixture.store.read(key).orElseThrow().revision();
        fixture.store.compareAndSwap(key, revision, new byte[] {'{', '}'});
    }

    private void report(
            final String domain, final long lowest, final long highest, final long ageMs, final String... refusals)
            throws StoreException {
        StoredDomainRegistry.of(fixture.store)
                .write(new DomainSummary(
                        domain,
                        "region-1",
                        "node-1",
                        List.of(new NodeAddress("127.0.0.1", 9000)),
                        6,
                        lowest,
                        highest,
                        List.of(refusals),
                        fixture.clock.nowMs() - ageMs));
    }
}
