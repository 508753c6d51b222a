package org.sequoiashunt.manifest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;

final class ManifestReaderTest {

    private static final String VALID = """
            groups:
              kathmandu: [balaju, thimi]
            services:
              lot-ledger:
                version: "4"
                move:
                  to: 5.0-b
                  finishBy: 2026-12-04T16:45:00+05:45
                homeGroups: [kathmandu]
                routes:
                  - name: transfer
                    path: /lots/transfers
                    methods: [POST, PUT]
                    idempotent: false
                    timeout: 60000
            """;

    @Test
    void validManifestIsRead() throws ManifestException {
        Manifest manifest = read(VALID);
        Route route = new Route("transfer", "/lots/transfers", Set.of("POST", "PUT"), false, 60_000);
        Move move = new Move("4", "5.0-b", 1_796_382_000_000L);
        assertEquals(List.of("balaju", "thimi"), manifest.groups().get("kathmandu"));
        assertEquals(
                new ServiceConfiguration("lot-ledger", "4", Optional.of(move), List.of(route), List.of("kathmandu")),
                manifest.services().get("lot-ledger"));
        assertTrue(manifest.warnings().isEmpty());
    }

    @Test
    void routeCoveredByEarlierRoutesCausesWarning() throws ManifestException {
        String rest = "idempotent: true, timeout: 1}\n";
        Manifest manifest = read(VALID
                + "      - {name: partly, path: /lots/transfers/5, methods: [PUT, GET], " + rest
                + "      - {name: apart, path: /lots/transfersX, methods: [PUT], " + rest
                + "      - {name: covered, path: /lots/transfers/5/6, methods: [POST, GET], " + rest);
        assertEquals(
                List.of(18), manifest.warnings().stream().map(Problem::line).toList());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "version: \"4\" | version: \"-4\"",
                "version: \"4\" | version: \"4 \"",
                "version: \"4\" | version: \"" + "4444444444444444444444444444444444444444444444444444444444444444"
                        + "4\"",
                "version: \"4\" | version: null",
                "version: \"4\" | version: [4]",
                "path: /lots/transfers | path: /lots//transfers",
                "path: /lots/transfers | path: \"/lots/tra nsfers\"",
                "path: /lots/transfers | path: /lots/./transfers",
                "timeout: 60000 | timeout: 60_000",
                "timeout: 60000 | timeout: 010",
                "timeout: 60000 | timeout: 1.5",
                "timeout: 60000 | timeout: 99999999999999999999",
                "finishBy: 2026-12-04T16:45:00+05:45 | finishBy: 2026-12-04",
                "finishBy: 2026-12-04T16:45:00+05:45 | finishBy: 1796382000",
                "to: 5.0-b | to: \"4\"",
                "services: | <<: {a: b}",
                "services: | services: &again [*again]",
                "lot-ledger: | ? [lot]",
                "lot-ledger: | lot/ledger:",
                "balaju, thimi | balaju, balaju"
            })
    void manifestWithOneInvalidValueIsRefused(final String right, final String wrong) {
        assertTrue(VALID.contains(right), right);
        assertThrows(ManifestException.class, () -> read(VALID.replace(right, wrong)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "# nothing\n",
                "null",
                "- a",
                "text",
                "services:",
                "services: {}",
                "a: b\n---\na: b\n",
                "a: \u0000"
            })
    void textThatIsNotAManifestIsRefused(final String text) {
        assertThrows(ManifestException.class, () -> read(text));
    }

    @Test
    void wrongEncodingIsRefused() {
        assertThrows(ManifestException.class, () -> ManifestReader.read("m", VALID.getBytes(StandardCharsets.UTF_16)));
    }

    @Test
    void aliasExpansionDeepNestingAndOversizedFileAreRefused() {
        StringBuilder aliases = new StringBuilder("a0: &a0 [x, x]\n");
        for (int level = 1; level < 60; level++) {
            String below = "*a" + (level - 1);
            aliases.append("a%d: &a%d [%s, %s]\n".formatted(level, level, below, below));
        }
        assertThrows(ManifestException.class, () -> read(aliases.toString()));
        assertThrows(ManifestException.class, () -> read("[".repeat(100_000)));
        assertThrows(
                ManifestException.class, () -> ManifestReader.read("m", new byte[ManifestReader.MAXIMUM_BYTES + 1]));
    }

    @Test
    void partThatIsTooLargeForTheStoreIsRefused() {
        StringBuilder routes = new StringBuilder(VALID);
        for (int route = 0; route < 12_000; route++) {
            routes.append("      - {name: r%d, path: /p%d, methods: [GET], idempotent: true, timeout: 1}\n"
                    .formatted(route, route));
        }
        ManifestException refused = assertThrows(ManifestException.class, () -> read(routes.toString()));
        assertTrue(refused.getMessage().contains("more than 1048576"), refused.getMessage());
    }

    @Test
    void lastProblemStatesNumberOfOmittedProblems() {
        StringBuilder services = new StringBuilder("services:\n");
        services.append("  same: {}\n".repeat(300));
        ManifestException refused = assertThrows(ManifestException.class, () -> read(services.toString()));
        assertEquals(201, refused.problems().size());
        assertEquals(
                "101 more problems from here on", refused.problems().get(200).reason());
    }

    @Test
    void misspeltWordSuggestsNearestCandidate() {
        Set<String> known = Set.of("idempotent", "methods", "name", "path", "timeout");
        assertEquals(Optional.of("'idempotent'"), SpellingSuggester.suggest("idempotant", known));
        assertEquals(Optional.of("'path'"), SpellingSuggester.suggest("Path", known));
        assertEquals(Optional.empty(), SpellingSuggester.suggest("retries", known));
    }

    private static Manifest read(final String text) throws ManifestException {
        return ManifestReader.read("m.yaml", text.getBytes(StandardCharsets.UTF_8));
    }
}
