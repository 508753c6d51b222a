package org.sequoiashunt.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;

final class ConfigurationControllerTest {

    private final Blackboard blackboard = new Blackboard();
    private final List<Long> applied = new ArrayList<>();
    private final ConfigurationController controller = new ConfigurationController(blackboard, this::apply);
    private String refusal = "";

    @Test
    void completeVersionIsPutInForce() {
        part("digest-a", "desk", "north");
        head(1, Map.of("desk", "digest-a"));
        controller.tick();
        assertEquals(1, controller.versionInForce());
        assertEquals(
                Set.of("desk"), controller.inForce().orElseThrow().services().keySet());
    }

    @Test
    void incompleteVersionIsNotPutInForce() {
        part("digest-a", "desk", "north");
        head(1, Map.of("desk", "digest-a", "floor", "digest-b"));
        controller.tick();
        assertEquals(List.of(), applied);
        part("digest-b", "floor", "north");
        controller.tick();
        assertEquals(List.of(1L), applied);
    }

    @Test
    void versionThatRefersToUnknownGroupIsRefusedAndTheOldOneStays() {
        part("digest-a", "desk", "north");
        head(1, Map.of("desk", "digest-a"));
        controller.tick();
        part("digest-b", "desk", "south");
        head(2, Map.of("desk", "digest-b"));
        controller.tick();
        assertEquals(1, controller.versionInForce());
        assertEquals("version 2: service 'desk' refers to unknown home group 'south'", controller.refusal());
        part("digest-c", "desk", "north");
        head(3, Map.of("desk", "digest-c"));
        controller.tick();
        assertEquals(3, controller.versionInForce());
        assertEquals("", controller.refusal());
    }

    @Test
    void versionThatCannotBeAppliedIsRefused() {
        refusal = "two services match /desk";
        part("digest-a", "desk", "north");
        head(1, Map.of("desk", "digest-a"));
        controller.tick();
        assertEquals(0, controller.versionInForce());
        assertEquals(refusal, controller.refusal());
    }

    @Test
    void partOfAnotherServiceIsRefused() {
        part("digest-a", "floor", "north");
        head(1, Map.of("desk", "digest-a"));
        controller.tick();
        assertEquals(0, controller.versionInForce());
        assertTrue(controller.refusal().contains("belongs to service 'floor'"));
    }

    @Property(tries = 200)
    void versionInForceNeverDecreases(@ForAll @Size(max = 30) final List<@IntRange(min = 1, max = 9) Integer> heads) {
        ConfigurationControllerTest fresh = new ConfigurationControllerTest();
        fresh.part("digest-a", "desk", "north");
        long highest = 0;
        for (int version : heads) {
            fresh.head(version, Map.of("desk", "digest-a"));
            fresh.controller.tick();
            highest = Math.max(highest, version);
            assertEquals(highest, fresh.controller.versionInForce());
        }
        assertEquals(fresh.applied.stream().sorted().distinct().toList(), fresh.applied);
    }

    private void apply(final ConfigurationSnapshot snapshot) throws ConfigurationException {
        if (!refusal.isEmpty()) {
            throw new ConfigurationException(refusal);
        }
        applied.add(snapshot.head().version());
    }

    private void head(final long version, final Map<String, String> parts) {
        TreeMap<String, List<String>> groups = new TreeMap<>(Map.of("north", List.of("balaju")));
        ConfigurationHead head = new ConfigurationHead(version, "commit", new TreeMap<>(parts), groups);
        blackboard.merge(Entry.of(ConfigurationHead.NAME, "store", EntryVersion.of(version, 0), head));
    }

    private void part(final String digest, final String service, final String group) {
        Route route = new Route("all", "/", Set.of("GET"), true, 1_000);
        ServiceConfiguration part =
                new ServiceConfiguration(service, "v1", Optional.empty(), List.of(route), List.of(group));
        blackboard.merge(Entry.of(digest, "store", EntryVersion.of(1, 0), part));
    }
}
