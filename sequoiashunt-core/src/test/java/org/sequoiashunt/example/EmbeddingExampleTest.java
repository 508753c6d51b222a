package org.sequoiashunt.example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.configuration.ConfigurationController;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.routing.RoutingTable;

class EmbeddingExampleTest {

    private static final String BEGIN = "        // example\n";
    private static final String END = "        // end of example\n";

    @Test
    void embedsBlackboardControllerAndRoutingTable() {
        // example
        Blackboard blackboard = new Blackboard();
        AtomicReference<RoutingTable> table = new AtomicReference<>(RoutingTable.EMPTY);
        ConfigurationController controller = new ConfigurationController(
                blackboard,
                snapshot -> table.set(RoutingTable.of(
                        snapshot.head().version(), snapshot.services().values())));

        Route lookup = new Route("lookup", "/plates", Set.of("GET"), true, 2_000);
        ServiceConfiguration desk =
                new ServiceConfiguration("registry-desk", "v1", Optional.empty(), List.of(lookup), List.of());
        ConfigurationHead head = new ConfigurationHead(
                1, "commit-1", new TreeMap<>(Map.of("registry-desk", "digest-1")), new TreeMap<>());
        blackboard.merge(Entry.of("digest-1", "operator", EntryVersion.of(1, 0), desk));
        blackboard.merge(Entry.of(ConfigurationHead.NAME, "operator", EntryVersion.of(1, 0), head));
        controller.tick();

        String route = table.get()
                .match("registry-desk", "GET", "/plates/29A-12345")
                .map(match -> match.route().name())
                .orElse("none");
        // end of example
        assertEquals("lookup", route);
        assertEquals(1, controller.versionInForce());
    }

    @Test
    void readmeShowsTheSameCode() throws IOException {
        Path module = Path.of("").toAbsolutePath();
        String source =
                Files.readString(module.resolve("src/test/java/org/sequoiashunt/example/EmbeddingExampleTest.java"));
        String code = source.substring(source.indexOf(BEGIN) + BEGIN.length(), source.indexOf(END))
                .stripTrailing()
                .stripIndent()
                .strip();
        String readme = Files.readString(module.resolveSibling("README.md"));
        assertTrue(readme.contains(code), "README.md must show:\n" + code);
    }
}
