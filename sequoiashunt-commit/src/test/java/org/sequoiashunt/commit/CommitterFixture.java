package org.sequoiashunt.commit;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.store.MemoryStore;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.time.SteppedClock;

/** Store in memory and committers on it whose retry pauses advance a stepped clock. Confined to one thread. */
final class CommitterFixture {

    static final long BUDGET_MS = 5_000;

    final SteppedClock clock = SteppedClock.of(1_000_000);
    final MemoryStore store = MemoryStore.of(clock);
    final CommitLog log = CommitLog.of(store);
    private final SplittableRandom random = new SplittableRandom(11);

    ConfigurationCommitter committer(final Store used) {
        return ConfigurationCommitter.of(used, clock, () -> StoreRetry.start(clock, random, clock::advance, BUDGET_MS));
    }

    CommitResult commit(final String commitId, final String version) throws Exception {
        return committer(store).commit(request(commitId, version));
    }

    static CommitRequest request(final String commitId, final String version) {
        return request(commitId, version, OptionalLong.empty());
    }

    static CommitRequest request(final String commitId, final String version, final OptionalLong expected) {
        TreeMap<String, List<String>> groups = new TreeMap<>();
        groups.put("bac-bo", List.of("ha-noi-a", "hai-phong-b"));
        TreeMap<String, ServiceConfiguration> services = new TreeMap<>();
        services.put("lot-ledger", service("lot-ledger", "1"));
        services.put("registry-desk", service("registry-desk", version));
        return new CommitRequest(groups, services, "author of " + commitId, "message", commitId, true, expected);
    }

    static ServiceConfiguration service(final String name, final String version) {
        Route route = new Route("all", "/", Set.of("GET", "POST"), false, 2_000);
        return new ServiceConfiguration(name, version, Optional.empty(), List.of(route), List.of("bac-bo"));
    }

    /** Counts the records with a commit id in the chain of commits. */
    long countCommits(final String commitId) throws Exception {
        long count = 0;
        String key = log.readHead().map(head -> head.document().record()).orElse(null);
        while (key != null) {
            CommitRecord record = log.readRecord(key);
            count += record.commitId().equals(commitId) ? 1 : 0;
            key = record.previous();
        }
        return count;
    }
}
