package org.sequoiashunt.slot;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiashunt.call.CallHandler;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.target.TargetRegistry;

/**
 * Keeps one open gate for each announced target of this node and passes calls to the gates.
 *
 * <p>Thread-safe: each gate has its own monitor; {@link #update} is guarded by this object's monitor. Invariant: once
 * {@link #update} has returned, a target that does not accept calls according to the registry has no open gate.
 */
public final class SlotGates implements CallHandler {

    private final TargetRegistry registry;
    private final SlotGate.Dependencies dependencies;
    private final Map<String, SlotGate> openGates = new ConcurrentHashMap<>();
    private final List<SlotGate> closingGates = new ArrayList<>();
    private long stopMs = Long.MAX_VALUE;
    private boolean suspended;

    /**
     * Creates an object without gates; {@link #update} opens them.
     *
     * @param registry the announced targets of this node, not null.
     * @param dependencies the objects that the gates call, not null.
     */
    public SlotGates(final TargetRegistry registry, final SlotGate.Dependencies dependencies) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
    }

    /** Opens and closes gates according to the registry; a new incarnation of a target gets a new gate. */
    public synchronized void update() {
        Set<String> accepting = new HashSet<>();
        for (TargetAnnouncement announcement : registry.acceptingTargets()) {
            accepting.add(announcement.target());
            SlotGate gate = openGates.get(announcement.target());
            if (gate != null && isSameIncarnation(gate.target(), announcement)) {
                gate.updateAnnouncement(announcement);
            } else {
                if (gate != null) {
                    close(gate);
                }
                SlotGate opened = new SlotGate(announcement, dependencies);
                opened.drain(stopMs);
                if (suspended) {
                    opened.suspend();
                }
                openGates.put(announcement.target(), opened);
            }
        }
        for (Map.Entry<String, SlotGate> entry : openGates.entrySet()) {
            if (!accepting.contains(entry.getKey())) {
                openGates.remove(entry.getKey());
                close(entry.getValue());
            }
        }
        closingGates.removeIf(gate -> gate.running() == 0);
    }

    private static boolean isSameIncarnation(final TargetAnnouncement current, final TargetAnnouncement latest) {
        return current.startedAtMs() == latest.startedAtMs()
                && current.slots() == latest.slots()
                && current.address().equals(latest.address())
                && current.version().equals(latest.version());
    }

    private void close(final SlotGate gate) {
        gate.close(Reason.DRAINING);
        closingGates.add(gate);
    }

    /**
     * Calls {@link SlotGate#drain} of each open gate and of those that are opened later.
     *
     * @param newStopMs when running calls are cut off, in milliseconds of the local clock.
     */
    public synchronized void drain(final long newStopMs) {
        stopMs = newStopMs;
        openGates.values().forEach(gate -> gate.drain(newStopMs));
    }

    /**
     * Suspends or resumes the open gates and those that are opened later, see {@link SlotGate#suspend}.
     *
     * @param newSuspended whether the gates refuse all calls.
     * @return true if this changed.
     */
    public synchronized boolean setSuspended(final boolean newSuspended) {
        if (suspended == newSuspended) {
            return false;
        }
        suspended = newSuspended;
        openGates.values().forEach(newSuspended ? SlotGate::suspend : SlotGate::resume);
        return true;
    }

    @Override
    public void withdrawCall(final String callId) {
        for (SlotGate gate : openGates.values()) {
            if (gate.withdraw(callId)) {
                return;
            }
        }
    }

    /** Calls {@link SlotGate#tick} of each open gate. */
    public void tick() {
        openGates.values().forEach(SlotGate::tick);
    }

    @Override
    public CompletableFuture<CallResult> handle(final CallRequest request) {
        SlotGate gate = openGates.get(request.target());
        if (gate == null) {
            return CompletableFuture.completedFuture(CallResult.notRun(Reason.NO_TARGET));
        }
        return gate.handle(request);
    }

    /**
     * Records the load that a target has stated in an answer. Ignored if the target has no open gate.
     *
     * @param address the address of the target, not null.
     * @param load the load, not null.
     * @param sentMs when the answered call was sent or before, in milliseconds of the local clock.
     */
    public void recordStatedLoad(final NodeAddress address, final StatedLoad load, final long sentMs) {
        for (SlotGate gate : openGates.values()) {
            if (gate.target().address().equals(address)) {
                gate.recordStatedLoad(load, sentMs);
            }
        }
    }

    /**
     * Lists the reports of all targets with an open gate.
     *
     * @return the reports, never null.
     */
    public List<TargetReport> reports() {
        return openGates.values().stream().map(SlotGate::report).toList();
    }

    /**
     * Lists the reports of one service's targets with an open gate.
     *
     * @param service the service, not null.
     * @return the reports, never null.
     */
    public List<TargetReport> reports(final String service) {
        return openGates.values().stream()
                .filter(gate -> gate.target().service().equals(service))
                .map(SlotGate::report)
                .toList();
    }

    /**
     * Returns the share of repeated attempts among the calls that run at the open gates.
     *
     * @return the share from 0 to 1, zero if no call runs.
     */
    public double repeatedShare() {
        int running = 0;
        int repeats = 0;
        for (SlotGate gate : openGates.values()) {
            running += gate.running();
            repeats += gate.runningRepeats();
        }
        return running == 0 ? 0 : Math.min(1, repeats / (double) running);
    }

    /**
     * Counts the calls that run at all targets, with those of closed gates.
     *
     * @return the number of calls, zero or more.
     */
    public synchronized int running() {
        int running = openGates.values().stream().mapToInt(SlotGate::running).sum();
        return running + closingGates.stream().mapToInt(SlotGate::running).sum();
    }
}
