package org.sequoiashunt.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@UseReporter(QuietReporter.class)
final class OperatorCommandLineTest {

    private final OperatorFixture fixture = new OperatorFixture();

    @Test
    void helpListsCommandsAndExitCodes() {
        fixture.verify(fixture.run("--help"), fixture.run("commit", "--help"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "comit",
                "validate",
                "validate first.yaml second.yaml",
                "commit first.yaml --author a",
                "commit first.yaml --author a --message m --commit-id a/b",
                "commit first.yaml --author a --message m --expect x",
                "commit first.yaml --author a --message m --expect -1",
                "history --limit 0",
                "history --limit many",
                "status --store nowhere",
                "status --store 127.0.0.1:70000",
                "explain --service a --method GET --path b"
            })
    void wrongCommandLineIsRefused(final String line) {
        CommandResult result = fixture.run(line.isEmpty() ? new String[0] : line.split(" "));
        assertEquals(ExitCode.USAGE, result.code(), result.errors());
        assertTrue(result.errors().contains("sequoiashunt --help"), result.errors());
        assertEquals("", result.output());
    }
}
