package org.sequoiashunt.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.peer.NodeAddress;

class SettingsReaderTest {

    private static final String VALID_SETTINGS = """
            node: desk-1
            failureDomain: ha-noi-a
            region: bac-bo
            callers: 127.0.0.1:8080
            link: 127.0.0.1:7070
            admin: 127.0.0.1:9090
            store: 127.0.0.1:4001
            """;

    @Test
    void readsRequiredKeysAndDefaults() throws SettingsException {
        NodeSettings settings = SettingsReader.read(VALID_SETTINGS);
        assertEquals("desk-1", settings.node());
        assertEquals(new NodeAddress("127.0.0.1", 8080), settings.callers());
        assertEquals(List.of(), settings.contacts());
        assertEquals(NodeSettings.DEFAULT_MAXIMUM_BODY_BYTES, settings.maximumBodyBytes());
        assertEquals(NodeSettings.DEFAULT_DRAIN_MS, settings.drainMs());
    }

    @Test
    void reportsEveryProblemWithItsKey() {
        String invalid = VALID_SETTINGS.replace("region: bac-bo\n", "").replace("127.0.0.1:8080", "here")
                + "drainMs: soon\ncontacts: [127.0.0.1:1, nowhere]\ndrainMS: 5\n";
        assertEquals(
                List.of("drainMS", "region", "callers", "contacts[1]", "drainMs"),
                problems(invalid).stream()
                        .map(problem -> problem.substring(0, problem.indexOf(':')))
                        .toList());
    }

    @Test
    void rejectsANumberOutOfRange() {
        assertEquals(
                List.of("maximumBodyBytes: expected 1 to 16777216 but got 0"),
                problems(VALID_SETTINGS + "maximumBodyBytes: 0\n"));
    }

    @Test
    void rejectsOneAddressForTwoListeners() {
        assertEquals(
                List.of("callers, link, admin: each needs an address of its own"),
                problems(VALID_SETTINGS.replace("7070", "8080")));
    }

    @Test
    void rejectsEmptyAndMalformedYaml() {
        assertEquals(List.of("expected a mapping of keys to values"), problems(""));
        assertEquals(1, problems("node: [").size());
    }

    private static List<String> problems(final String yaml) {
        return assertThrows(SettingsException.class, () -> SettingsReader.read(yaml))
                .problems();
    }
}
