package org.sequoiashunt.node.mesh;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.fleet.Evacuation;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.mesh.CallerLimits;
import org.sequoiashunt.mesh.DesiredState;
import org.sequoiashunt.mesh.MeshConfiguration;
import org.sequoiashunt.mesh.MeshPlatform;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.mesh.ReadFreshness;
import org.sequoiashunt.mesh.RequestKind;
import org.sequoiashunt.mesh.ServiceSettings;
import org.sequoiashunt.mesh.WeightedService;
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.organisation.OrganisationDirectory;
import org.sequoiashunt.organisation.RateLimit;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.target.TargetDeparture;

/**
 * In-memory platform client of one node; all clients of a test share the same state. The document of a configuration
 * is one byte, its version.
 */
final class FakePlatform implements MeshPlatform {

    /** Version whose requests need the key {@code key} of an organisation with a limit of 5 requests a second. */
    static final int VERSION_WITH_LIMIT = 99;

    /** Version whose route of long waits has another timeout. */
    static final int VERSION_WITH_OTHER_TIMEOUT = 98;

    /** Version with a route that is bound to a region. */
    static final int VERSION_WITH_REGION = 97;

    private final Map<String, KnownNode> nodes;
    private final AtomicInteger version;
    private final Map<String, List<TargetDeparture>> departures;
    private final Map<String, Evacuation> evacuations;
    private final AtomicInteger departureReads = new AtomicInteger();
    private final AtomicInteger moveRecords = new AtomicInteger();
    private volatile boolean down;
    private volatile long era;
    private volatile long readEra;

    FakePlatform() {
        this(new ConcurrentHashMap<>(), new AtomicInteger(1), new ConcurrentHashMap<>(), new ConcurrentHashMap<>());
    }

    private FakePlatform(
            final Map<String, KnownNode> nodes,
            final AtomicInteger version,
            final Map<String, List<TargetDeparture>> departures,
            final Map<String, Evacuation> evacuations) {
        this.nodes = nodes;
        this.version = version;
        this.departures = departures;
        this.evacuations = evacuations;
    }

    FakePlatform newClient() {
        return new FakePlatform(nodes, version, departures, evacuations);
    }

    /** Returns how often this client has read departures, whether the store was up or not. */
    int departureReads() {
        return departureReads.get();
    }

    void commit(final int nextVersion) {
        version.set(nextVersion);
    }

    /** Orders or revokes an evacuation with a new version of the configuration, which gives it its revision. */
    void setEvacuated(final String failureDomain, final boolean evacuated) {
        int revision = version.incrementAndGet();
        if (evacuated) {
            evacuations.put(failureDomain, new Evacuation(failureDomain, revision, true));
        } else {
            evacuations.remove(failureDomain);
        }
    }

    void setDown(final boolean newDown) {
        down = newDown;
    }

    private void requireUp() throws StoreException {
        if (down) {
            throw new StoreException("the fake store is down", false);
        }
    }

    @Override
    public DesiredState readDesiredState() throws StoreException {
        requireUp();
        int current = version.get();
        readEra = era;
        return new DesiredState(
                documentOf(current), List.of(), List.of(), List.copyOf(evacuations.values()), true, current);
    }

    @Override
    public Optional<DesiredState> watch(final long revision, final long waitMs) throws StoreException {
        requireUp();
        try {
            Thread.sleep(50);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        requireUp();
        if (readEra != era) {
            return Optional.empty();
        }
        int current = version.get();
        Optional<Body> document = current > revision ? documentOf(current) : Optional.empty();
        return Optional.of(
                new DesiredState(document, List.of(), List.of(), List.copyOf(evacuations.values()), true, current));
    }

    private static Optional<Body> documentOf(final int current) {
        return Optional.of(Body.of(new byte[] {(byte) current}));
    }

    private static MeshRoute route(
            final String name,
            final RequestKind kind,
            final int timeoutMs,
            final int objectiveMs,
            final Set<String> regions) {
        List<WeightedService> services = List.of(new WeightedService("desk", 1));
        return new MeshRoute(
                name, "desk", "/" + name + "/", services, kind, timeoutMs, objectiveMs, 1, 2, false, regions);
    }

    @Override
    public MeshConfiguration decode(final Body document) {
        int decoded = document.bytes()[0];
        Set<String> regions = decoded == VERSION_WITH_REGION ? Set.of("north") : Set.of();
        MeshRoute lookRoute = route("look", RequestKind.IDEMPOTENT, 1_500, 500, regions);
        MeshRoute slowRoute = route("slow", RequestKind.NON_IDEMPOTENT, 10_000, 8_500, Set.of());
        int waitTimeoutMs = decoded == VERSION_WITH_OTHER_TIMEOUT ? 9_500 : 10_000;
        MeshRoute waitRoute = route("wait", RequestKind.IDEMPOTENT, waitTimeoutMs, 8_500, Set.of());
        MeshRoute versionRoute = route("v" + decoded, RequestKind.NON_IDEMPOTENT, 1_500, 500, Set.of());
        if (decoded == VERSION_WITH_LIMIT) {
            OrganisationDirectory.Builder organisations = new OrganisationDirectory.Builder();
            organisations.add(
                    new Organisation("limited", OptionalInt.empty(), Optional.of(new RateLimit(5, 5)), Set.of()),
                    Set.of("key"));
            return MeshConfiguration.of(
                    decoded,
                    List.of(lookRoute),
                    Map.of("desk", ServiceSettings.DEFAULT),
                    CallerLimits.defaults(),
                    organisations.build(),
                    MeshConfiguration.Omissions.NONE);
        }
        return MeshConfiguration.of(
                decoded,
                List.of(lookRoute, slowRoute, waitRoute, versionRoute),
                Set.of("desk"),
                CallerLimits.defaults());
    }

    @Override
    public List<KnownNode> listNodes(final ReadFreshness freshness) throws StoreException {
        requireUp();
        return List.copyOf(nodes.values());
    }

    @Override
    public long registerNode(final KnownNode node, final long durationMs) throws StoreException {
        requireUp();
        nodes.put(node.node(), node);
        return 1 + era;
    }

    @Override
    public boolean renewLease(final long lease) throws StoreException {
        requireUp();
        return lease == 1 + era;
    }

    @Override
    public List<TargetDeparture> readDepartures(final String node) throws StoreException {
        departureReads.incrementAndGet();
        requireUp();
        return departures.getOrDefault(node, List.of());
    }

    @Override
    public long grantLease(final long durationMs) throws StoreException {
        requireUp();
        return 1;
    }

    @Override
    public boolean recordDepartures(final String node, final List<TargetDeparture> recorded, final long lease)
            throws StoreException {
        requireUp();
        departures.merge(
                node,
                List.copyOf(recorded),
                (known, added) -> Stream.concat(known.stream(), added.stream()).toList());
        return true;
    }

    @Override
    public long storeEra() {
        return era;
    }

    /** Comes back from a copy without entries of nodes and departures; leases granted before have ended. */
    void restoreWithoutNodes() {
        nodes.clear();
        departures.clear();
        era++;
    }

    int moveRecords() {
        return moveRecords.get();
    }

    @Override
    public VersionMove record(final VersionMove move) throws StoreException {
        requireUp();
        moveRecords.incrementAndGet();
        return move.asRecorded();
    }
}
