package org.sequoiashunt.operator;

import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;

@UseReporter(QuietReporter.class)
final class ValidateCommandTest {

    private final OperatorFixture fixture = new OperatorFixture();

    @Test
    void validManifestIsSummedUpWithWarnings() {
        fixture.verify(fixture.run("validate", OperatorFixture.file("first")));
    }

    @Test
    void allProblemsAreListedWithTheirLines() {
        fixture.verify(fixture.run("validate", OperatorFixture.file("invalid")));
    }

    @Test
    void whatIsNoManifestAtAllIsRefused() {
        fixture.verify(
                fixture.run("validate", OperatorFixture.file("broken")),
                fixture.run("validate", OperatorFixture.file("empty")),
                fixture.run("validate", OperatorFixture.file("missing")),
                fixture.run("validate", "src/test/resources/manifests"));
    }
}
