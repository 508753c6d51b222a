package org.sequoiashunt.node.mesh;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.fleet.DepartureNotice;
import org.sequoiashunt.fleet.DepartureReceipt;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.PeerDepartures;
import org.sequoiashunt.mesh.MeshPlatform;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.slot.SlotGates;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.target.TargetDeparture;
import org.sequoiashunt.target.TargetRegistry;
import org.sequoiashunt.time.Clock;
import org.sequoiashunt.time.Delays;

/**
 * Makes departures of this node's targets known outside this process before they are acknowledged, and restores those
 * that an earlier process of this node has acknowledged.
 *
 * <p>A departure is recorded in the platform's store, and a few peers keep it as well: they suffice while the store
 * does not answer, and send it back when this node has restarted. If neither the store nor a peer holds it in time, it
 * is not acknowledged; the target announces its departure again. When the store came back from an older copy, all are
 * recorded again under a new lease.
 *
 * <p>Thread-safe: guarded by its own monitor; calls to the store, messages and completions happen outside it. The loop
 * of the blocking task and the control thread each call their methods alone. Invariants: an acknowledged departure was
 * held outside this process; the number of departures is bounded.
 */
final class DepartureRecorder implements BlockingTask, Controller {

    /** Time for which the store alone is awaited; it answers within milliseconds, from another region within 100 ms. */
    private static final long STORE_PREFERENCE_MS = 250;

    /** Longest time until an answer: targets wait for one second. */
    private static final long ANSWER_TIMEOUT_MS = 800;

    /** Time after which peers that have not confirmed are replaced. */
    private static final long PEER_RETRY_MS = 300;

    /** Peers that keep a departure: two may end before this node restarts. */
    private static final int PEERS = 3;

    /** Duration of the records; announcements of targets that have left are seconds late. */
    private static final long LEASE_DURATION_MS = 600_000;

    /** Age from which a lease is replaced, so that each record lasts for minutes. */
    private static final long MAXIMUM_LEASE_AGE_MS = 420_000;

    /** Longest wait for a departure; each end of a wait wakes the processor. */
    private static final long MAXIMUM_WAIT_MS = 10_000;

    private static final long RETRY_MS = 400;
    private static final int MAXIMUM_DEPARTURES = 1_024;

    private final NodeLocation location;
    private final FleetView fleet;
    private final PeerSender sender;
    private final MeshPlatform platform;
    private final TargetRegistry registry;
    private final SlotGates gates;
    private final Clock clock;
    private final Delays delays;
    private final StoreHealth health;
    private final Runnable onRestored;
    private final PeerDepartures peerDepartures;
    private final Map<TargetDeparture, PendingDeparture> pending = new LinkedHashMap<>();
    private final Set<TargetDeparture> recorded = new LinkedHashSet<>();
    private boolean restored;
    private long lease;
    private long leaseGrantedMs;
    private long recordedEra;

    DepartureRecorder(final Dependencies dependencies) {
        this.location = dependencies.location();
        this.fleet = dependencies.fleet();
        this.sender = dependencies.sender();
        this.platform = dependencies.platform();
        this.registry = dependencies.registry();
        this.gates = dependencies.gates();
        this.clock = dependencies.clock();
        this.delays = dependencies.delays();
        this.health = dependencies.health();
        this.onRestored = dependencies.onRestored();
        this.peerDepartures = new PeerDepartures(clock);
    }

    /**
     * Makes a departure known outside this process. The target's gate must be closed before.
     *
     * @param departure the departure, not null.
     * @return completes with whether the departure may be acknowledged, never exceptionally, in less than a second.
     */
    CompletableFuture<Boolean> record(final TargetDeparture departure) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        boolean isNew;
        synchronized (this) {
            if (recorded.contains(departure)) {
                return CompletableFuture.completedFuture(true);
            }
            PendingDeparture known = pending.get(departure);
            isNew = known == null && pending.size() < MAXIMUM_DEPARTURES;
            if (isNew) {
                known = new PendingDeparture();
                pending.put(departure, known);
            }
            if (known == null) {
                return CompletableFuture.completedFuture(false);
            }
            known.waiting.add(answer);
            notifyAll();
        }
        if (isNew) {
            sendNotice(departure);
        }
        delays.after(STORE_PREFERENCE_MS, () -> completeIfHeldByPeer(departure, answer));
        delays.after(ANSWER_TIMEOUT_MS, () -> answer.complete(false));
        return answer;
    }

    private void completeIfHeldByPeer(final TargetDeparture departure, final CompletableFuture<Boolean> answer) {
        boolean held;
        synchronized (this) {
            PendingDeparture known = pending.get(departure);
            held = known == null ? recorded.contains(departure) : known.heldByPeer;
            if (known != null) {
                known.peersSuffice = true;
            }
        }
        if (held) {
            answer.complete(true);
        }
    }

    /** Sends a departure to peers that have not got it yet, the nearest first. */
    private void sendNotice(final TargetDeparture departure) {
        List<NodeReport> candidates = fleet.liveReports().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> !report.leaving())
                .sorted(Comparator.comparingInt(this::distance).thenComparing(NodeReport::node))
                .toList();
        List<NodeAddress> receivers = new ArrayList<>();
        synchronized (this) {
            PendingDeparture known = pending.get(departure);
            if (known == null) {
                return;
            }
            known.noticeSentMs = clock.nowMs();
            boolean allAsked = candidates.stream().allMatch(report -> known.askedNodes.contains(report.node()));
            if (allAsked) {
                known.askedNodes.clear();
            }
            for (NodeReport report : candidates) {
                if (receivers.size() < PEERS && known.askedNodes.add(report.node())) {
                    receivers.add(report.address());
                }
            }
        }
        if (!receivers.isEmpty()) {
            sender.send(
                    receivers,
                    new DepartureNotice(location.node(), List.of(departure), Optional.of(location.address())));
        }
    }

    private int distance(final NodeReport report) {
        if (report.failureDomain().equals(location.failureDomain())) {
            return 0;
        }
        return report.region().equals(location.region()) ? 1 : 2;
    }

    /**
     * Restores the departures of earlier processes once a target is held, then records those that are pending. Most
     * processes start together with their targets and need not read.
     */
    @Override
    public long step() {
        try {
            repeatIfStoreWasRestored();
            if (mustRestore()) {
                restore(platform.readDepartures(location.node()));
                registry.completeDepartures();
                gates.update();
                restored = true;
                onRestored.run();
                health.recordSuccess();
            }
            boolean allRecorded = recordPending();
            return allRecorded && awaitWork() ? 0 : RETRY_MS;
        } catch (StoreException exception) {
            health.recordFailure("departures", exception.getMessage());
            return RETRY_MS;
        }
    }

    /** Makes the recorded departures pending again if the store may have lost them. */
    private synchronized void repeatIfStoreWasRestored() {
        long era = platform.storeEra();
        if (era != recordedEra) {
            recordedEra = era;
            lease = 0;
            recorded.forEach(departure -> pending.putIfAbsent(departure, new PendingDeparture()));
            recorded.clear();
        }
    }

    /** Records the pending departures; returns false if the lease has ended, so that another one must be granted. */
    private boolean recordPending() throws StoreException {
        List<TargetDeparture> batch = nextBatch();
        while (!batch.isEmpty()) {
            long nowMs = clock.nowMs();
            if (lease == 0 || nowMs - leaseGrantedMs > MAXIMUM_LEASE_AGE_MS) {
                lease = platform.grantLease(LEASE_DURATION_MS);
                leaseGrantedMs = nowMs;
            }
            boolean leaseEnded = !platform.recordDepartures(location.node(), batch, lease);
            health.recordSuccess();
            if (leaseEnded) {
                lease = 0;
                return false;
            }
            complete(batch);
            batch = nextBatch();
        }
        return true;
    }

    private synchronized List<TargetDeparture> nextBatch() {
        return pending.keySet().stream()
                .limit(MeshPlatform.MAXIMUM_RECORDED_DEPARTURES)
                .toList();
    }

    private void complete(final List<TargetDeparture> batch) {
        List<CompletableFuture<Boolean>> answers = new ArrayList<>();
        synchronized (this) {
            for (TargetDeparture departure : batch) {
                PendingDeparture known = pending.remove(departure);
                if (known != null) {
                    answers.addAll(known.waiting);
                }
                recorded.add(departure);
            }
            while (recorded.size() > MAXIMUM_DEPARTURES) {
                recorded.remove(recorded.iterator().next());
            }
        }
        answers.forEach(answer -> answer.complete(true));
    }

    private boolean mustRestore() {
        return !restored && registry.holdsTargets();
    }

    /** Ends the wait of the loop, since a target is held. */
    synchronized void targetHeld() {
        notifyAll();
    }

    /** Waits for work; returns false if the thread was interrupted, since its loop then ends. */
    private synchronized boolean awaitWork() {
        try {
            if (pending.isEmpty() && !mustRestore() && platform.storeEra() == recordedEra) {
                wait(MAXIMUM_WAIT_MS);
            }
            return true;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void restore(final Collection<TargetDeparture> departures) {
        registry.restoreDepartures(departures);
        synchronized (this) {
            recorded.addAll(departures);
        }
    }

    /** Sends departures that no peer has confirmed to further peers. */
    @Override
    public void tick() {
        List<TargetDeparture> unconfirmed = new ArrayList<>();
        synchronized (this) {
            long nowMs = clock.nowMs();
            if (platform.storeEra() != recordedEra) {
                notifyAll();
            }
            pending.forEach((departure, known) -> {
                known.waiting.removeIf(CompletableFuture::isDone);
                if (!known.heldByPeer && nowMs - known.noticeSentMs >= PEER_RETRY_MS) {
                    unconfirmed.add(departure);
                }
            });
        }
        unconfirmed.forEach(this::sendNotice);
    }

    @Override
    public boolean receive(final String peer, final ControlMessage message) {
        if (message instanceof DepartureNotice notice) {
            receive(notice);
        } else if (message instanceof DepartureReceipt receipt) {
            receipt.departures().forEach(this::confirm);
        } else {
            return false;
        }
        return true;
    }

    private void receive(final DepartureNotice notice) {
        if (notice.node().equals(location.node())) {
            registry.restoreDepartures(notice.departures());
            recordReturned(notice.departures());
            gates.update();
            onRestored.run();
            return;
        }
        peerDepartures.add(notice.node(), notice.departures());
        notice.replyTo().ifPresent(address -> sender.send(address, new DepartureReceipt(notice.departures())));
    }

    /** Records departures that only peers may hold, since the store was away or restored before this node started. */
    private synchronized void recordReturned(final List<TargetDeparture> departures) {
        for (TargetDeparture departure : departures) {
            if (!recorded.contains(departure) && pending.size() < MAXIMUM_DEPARTURES) {
                PendingDeparture returned = new PendingDeparture();
                returned.heldByPeer = true;
                pending.putIfAbsent(departure, returned);
            }
        }
        notifyAll();
    }

    private void confirm(final TargetDeparture departure) {
        List<CompletableFuture<Boolean>> answers = List.of();
        synchronized (this) {
            PendingDeparture known = pending.get(departure);
            if (known != null) {
                known.heldByPeer = true;
                answers = known.peersSuffice ? List.copyOf(known.waiting) : answers;
            }
        }
        answers.forEach(answer -> answer.complete(true));
    }

    /**
     * Sends a node that was found again the departures that this node keeps for it.
     *
     * @param report the report of the node, not null.
     */
    void peerFound(final NodeReport report) {
        List<TargetDeparture> departures = peerDepartures.of(report.node());
        if (!departures.isEmpty()) {
            sender.send(report.address(), new DepartureNotice(report.node(), departures, Optional.empty()));
        }
    }

    /** A departure that the store has not recorded yet. Guarded by the monitor of the recorder. */
    private static final class PendingDeparture {

        private final List<CompletableFuture<Boolean>> waiting = new ArrayList<>();
        private final Set<String> askedNodes = new LinkedHashSet<>();
        private long noticeSentMs;
        private boolean heldByPeer;
        private boolean peersSuffice;
    }

    /**
     * Collaborators of the recorder. Immutable; as thread-safe as its components.
     *
     * @param location the location of this node.
     * @param fleet the latest reports of the other nodes.
     * @param sender sends messages to other nodes.
     * @param platform the access to the platform's store.
     * @param registry the targets of this node.
     * @param gates the gates of this node's targets.
     * @param clock the time source.
     * @param delays runs tasks after a delay.
     * @param health logs outages of the store.
     * @param onRestored called when restored departures may have changed the targets.
     */
    record Dependencies(
            NodeLocation location,
            FleetView fleet,
            PeerSender sender,
            MeshPlatform platform,
            TargetRegistry registry,
            SlotGates gates,
            Clock clock,
            Delays delays,
            StoreHealth health,
            Runnable onRestored) {

        /**
         * Checks the components.
         *
         * @throws NullPointerException if a component is null.
         */
        Dependencies {
            Objects.requireNonNull(location, "location");
            Objects.requireNonNull(fleet, "fleet");
            Objects.requireNonNull(sender, "sender");
            Objects.requireNonNull(platform, "platform");
            Objects.requireNonNull(registry, "registry");
            Objects.requireNonNull(gates, "gates");
            Objects.requireNonNull(clock, "clock");
            Objects.requireNonNull(delays, "delays");
            Objects.requireNonNull(health, "health");
            Objects.requireNonNull(onRestored, "onRestored");
        }
    }
}
