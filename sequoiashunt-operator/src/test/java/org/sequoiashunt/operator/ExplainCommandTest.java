package org.sequoiashunt.operator;

import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.rollout.Stage;
import org.sequoiashunt.store.StoreException;

@UseReporter(QuietReporter.class)
final class ExplainCommandTest {

    private static final String REGISTRY = "registry-desk_2026.11_2026.12_1796378400000";

    private final OperatorFixture fixture = new OperatorFixture();

    @BeforeEach
    void commit() {
        fixture.commit("second", "c-1");
    }

    @Test
    void namesRouteSharesAndTreatment() throws StoreException {
        CommandResult notStarted = explain("registry-desk", "get", "/orders/5");
        fixture.progress(REGISTRY, Stage.SHIFTING, 50_000, "no fault yet");
        CommandResult underWay = explain("registry-desk", "GET", "/orders/5");
        fixture.progress(REGISTRY, Stage.TAKEN_BACK, 0, "route orders is slow");
        fixture.verify(notStarted, underWay, explain("registry-desk", "GET", "/orders/5"));
    }

    @Test
    void namesWhyNothingMatches() {
        fixture.verify(
                explain("registry-desk", "POST", "/platesX"),
                explain("registry-desc", "GET", "/plates"),
                explain("registry-desk", "GET", "plates"));
    }

    @Test
    void explainsByManifest() {
        fixture.verify(
                explain("press-floor", "POST", "/plates/1", "--manifest", OperatorFixture.file("first")),
                explain("embossing", "PUT", "/", "--manifest", OperatorFixture.file("second")));
    }

    private CommandResult explain(final String service, final String method, final String path, final String... more) {
        String[] fixed = {"explain", "--service", service, "--method", method, "--path", path};
        String[] all = new String[fixed.length + more.length];
        System.arraycopy(fixed, 0, all, 0, fixed.length);
        System.arraycopy(more, 0, all, fixed.length, more.length);
        return fixture.run(all);
    }
}
