package org.sequoiashunt.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.memory.SimulatedPlatform;
import org.sequoiashunt.memory.SimulatedStore;
import org.sequoiashunt.time.SteppedClock;

final class ConfigurationWatcherTest {

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final SimulatedStore store = new SimulatedStore(clock);
    private final SimulatedPlatform platform = new SimulatedPlatform(store);
    private final Blackboard blackboard = new Blackboard();
    private final List<Section> accepted = new ArrayList<>();
    private boolean lead = true;
    private final ConfigurationWatcher watcher = watcher(blackboard);

    @Test
    void mergesPartsBeforeHead() {
        blackboard.addListener(entry -> accepted.add(entry.key().section()));
        commit(1, "north", "desk", "floor");
        watcher.step();
        assertEquals(
                List.of(Section.CONFIGURATION_PART, Section.CONFIGURATION_PART, Section.CONFIGURATION_HEAD), accepted);
        assertEquals(1, watcher.lastReadResult().version());
    }

    @Test
    void doesNotMergeInvalidVersion() {
        commit(1, "north", "desk");
        watcher.step();
        commit(2, "south", "desk");
        watcher.step();
        assertEquals(1, headVersion());
        assertTrue(watcher.lastReadResult().refusal().contains("unknown home group 'north'"));
        commit(3, "north", "desk");
        watcher.step();
        assertEquals(3, headVersion());
        assertEquals("", watcher.lastReadResult().refusal());
    }

    @Test
    void doesNotCallStoreWhenNotLead() {
        lead = false;
        commit(1, "north", "desk");
        assertTrue(watcher.step() > 0);
        assertEquals(0, store.callCount());
    }

    @Test
    void pausesBetweenRequestsDuringOutage() {
        commit(1, "north", "desk");
        store.setFault(SimulatedStore.Fault.DOWN);
        long tries = 0;
        for (long passedMs = 0; passedMs < 60_000; tries++) {
            passedMs += watcher.step();
        }
        assertTrue(tries < 120, "requests in a minute: " + tries);
        store.setFault(SimulatedStore.Fault.NONE);
        watcher.step();
        assertEquals(1, headVersion());
    }

    @Test
    void twoLeadsMergeEqualEntries() {
        commit(1, "north", "desk");
        watcher.step();
        Blackboard other = new Blackboard();
        watcher(other).step();
        assertEquals(blackboard.entries(Section.CONFIGURATION_HEAD), other.entries(Section.CONFIGURATION_HEAD));
        assertEquals(blackboard.entries(Section.CONFIGURATION_PART), other.entries(Section.CONFIGURATION_PART));
    }

    private ConfigurationWatcher watcher(final Blackboard target) {
        return new ConfigurationWatcher(platform, target, clock, () -> lead, new SplittableRandom(3));
    }

    private long headVersion() {
        List<Entry> heads = blackboard.entries(Section.CONFIGURATION_HEAD);
        return heads.get(0).version().major();
    }

    private void commit(final long version, final String group, final String... services) {
        Map<String, ServiceConfiguration> parts = new TreeMap<>();
        TreeMap<String, String> digests = new TreeMap<>();
        for (String service : services) {
            parts.put(service + version, FleetFixture.service(service, "v" + version));
            digests.put(service, service + version);
        }
        TreeMap<String, List<String>> groups = new TreeMap<>(Map.of(group, List.of("balaju")));
        platform.commit(new ConfigurationHead(version, "commit-" + version, digests, groups), parts);
    }
}
