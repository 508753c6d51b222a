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
    void matchingRequestPrintsRouteVersionSharesAndTimeout() throws StoreException {
        CommandResult notStarted = explain("registry-desk", "get", "/orders/5");
        fixture.writeProgress(REGISTRY, Stage.SHIFTING, 50_000, "no fault yet");
        CommandResult inProgress = explain("registry-desk", "GET", "/orders/5");
        fixture.writeProgress(REGISTRY, Stage.TAKEN_BACK, 0, "route orders is slow");
        fixture.verify(notStarted, inProgress, explain("registry-desk", "GET", "/orders/5"));
    }

    @Test
    void requestWithoutMatchPrintsTheReason() {
        fixture.verify(
                explain("registry-desk", "POST", "/platesX"),
                explain("registry-desc", "GET", "/plates"),
                explain("registry-desk", "GET", "plates"));
    }

    @Test
    void manifestOptionExplainsTheManifestInsteadOfTheStore() {
        fixture.verify(
                explain("press-floor", "POST", "/plates/1", "--manifest", OperatorFixture.manifestPath("first")),
                explain("embossing", "PUT", "/", "--manifest", OperatorFixture.manifestPath("second")));
    }

    private CommandResult explain(
            final String service, final String method, final String path, final String... additionalArguments) {
        String[] commonArguments = {"explain", "--service", service, "--method", method, "--path", path};
        String[] arguments = new String[commonArguments.length + additionalArguments.length];
        System.arraycopy(commonArguments, 0, arguments, 0, commonArguments.length);
        System.arraycopy(additionalArguments, 0, arguments, commonArguments.length, additionalArguments.length);
        return fixture.run(arguments);
    }
}
