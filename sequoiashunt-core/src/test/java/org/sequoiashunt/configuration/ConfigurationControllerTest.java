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
    private final List<Long> appliedVersions = new ArrayList<>();
    private final ConfigurationController controller = new ConfigurationController(blackboard, this::apply);
    private String applyError = "";

    @Test
    void completeVersionIsApplied() {
        mergePart("digest-a", "desk", "north");
        mergeHead(1, Map.of("desk", "digest-a"));
        controller.tick();
        assertEquals(1, controller.versionInForce());
        assertEquals(
                Set.of("desk"), controller.inForce().orElseThrow().services().keySet());
    }

    @Test
    void versionIsAppliedOnlyOnceAllPartsArePresent() {
        mergePart("digest-a", "desk", "north");
        mergeHead(1, Map.of("desk", "digest-a", "floor", "digest-b"));
        controller.tick();
        assertEquals(List.of(), appliedVersions);
        mergePart("digest-b", "floor", "north");
        controller.tick();
        assertEquals(List.of(1L), appliedVersions);
    }

    @Test
    void versionThatRefersToUnknownGroupIsRefusedAndPreviousVersionStaysInForce() {
        mergePart("digest-a", "desk", "north");
        mergeHead(1, Map.of("desk", "digest-a"));
        controller.tick();
        mergePart("digest-b", "desk", "south");
        mergeHead(2, Map.of("desk", "digest-b"));
        controller.tick();
        assertEquals(1, controller.versionInForce());
        assertEquals("version 2: service 'desk' refers to unknown home group 'south'", controller.refusal());
        mergePart("digest-c", "desk", "north");
        mergeHead(3, Map.of("desk", "digest-c"));
        controller.tick();
        assertEquals(3, controller.versionInForce());
        assertEquals("", controller.refusal());
    }

    @Test
    void versionThatApplierRejectsIsRefused() {
        applyError = "two services match /desk";
        mergePart("digest-a", "desk", "north");
        mergeHead(1, Map.of("desk", "digest-a"));
        controller.tick();
        assertEquals(0, controller.versionInForce());
        assertEquals(applyError, controller.refusal());
    }

    @Test
    void partOfAnotherServiceIsRefused() {
        mergePart("digest-a", "floor", "north");
        mergeHead(1, Map.of("desk", "digest-a"));
        controller.tick();
        assertEquals(0, controller.versionInForce());
        assertTrue(controller.refusal().contains("belongs to service 'floor'"));
    }

    @Property(tries = 200)
    void versionInForceNeverDecreases(
            @ForAll @Size(max = 30) final List<@IntRange(min = 1, max = 9) Integer> versions) {
        ConfigurationControllerTest fixture = new ConfigurationControllerTest();
        fixture.mergePart("digest-a", "desk", "north");
        long highest = 0;
        for (int version : versions) {
            fixture.mergeHead(version, Map.of("desk", "digest-a"));
            fixture.controller.tick();
            highest = Math.max(highest, version);
            assertEquals(highest, fixture.controller.versionInForce());
        }
        assertEquals(fixture.appliedVersions.stream().sorted().distinct().toList(), fixture.appliedVersions);
    }

    private void apply(final ConfigurationSnapshot snapshot) throws ConfigurationException {
        if (!applyError.isEmpty()) {
            throw new ConfigurationException(applyError);
        }
        appliedVersions.add(snapshot.head().version());
    }

    private void mergeHead(final long version, final Map<String, String> parts) {
        TreeMap<String, List<String>> groups = new TreeMap<>(Map.of("north", List.of("balaju")));
        ConfigurationHead head = new ConfigurationHead(version, "commit", new TreeMap<>(parts), groups);
        blackboard.merge(Entry.of(ConfigurationHead.NAME, "store", EntryVersion.of(version, 0), head));
    }

    private void mergePart(final String digest, final String service, final String group) {
        Route route = new Route("all", "/", Set.of("GET"), true, 1_000);
        ServiceConfiguration part =
                new ServiceConfiguration(service, "v1", Optional.empty(), List.of(route), List.of(group));
        blackboard.merge(Entry.of(digest, "store", EntryVersion.of(1, 0), part));
    }
}
