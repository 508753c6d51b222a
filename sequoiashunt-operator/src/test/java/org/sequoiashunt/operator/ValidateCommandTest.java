package org.sequoiashunt.operator;

import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;

@UseReporter(QuietReporter.class)
final class ValidateCommandTest {

    private final OperatorFixture fixture = new OperatorFixture();

    @Test
    void validManifestPrintsSummaryAndWarnings() {
        fixture.verify(fixture.run("validate", OperatorFixture.manifestPath("first")));
    }

    @Test
    void allProblemsAreListedWithTheirLines() {
        fixture.verify(fixture.run("validate", OperatorFixture.manifestPath("invalid")));
    }

    @Test
    void malformedManifestIsRefused() {
        fixture.verify(
                fixture.run("validate", OperatorFixture.manifestPath("broken")),
                fixture.run("validate", OperatorFixture.manifestPath("empty")),
                fixture.run("validate", OperatorFixture.manifestPath("missing")),
                fixture.run("validate", "src/test/resources/manifests"));
    }
}
