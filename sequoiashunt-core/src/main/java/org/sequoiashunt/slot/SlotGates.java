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
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.target.TargetRegistry;

/**
 * The gates of all targets of this node, kept in step with their announcements.
 *
 * <p>Thread-safe: the gates guard themselves; {@link #update} is guarded by this object's monitor. Invariant: a target
 * that is not accepting in the register has no open gate once {@link #update} has returned.
 */
public final class SlotGates implements CallHandler {

    private final TargetRegistry register;
    private final SlotGate.Dependencies ports;
    private final Map<String, SlotGate> open = new ConcurrentHashMap<>();
    private final List<SlotGate> closing = new ArrayList<>();

    /**
     * Creates gates for the targets of a register.
     *
     * @param register the register, not null.
     * @param ports what the gates call, not null.
     */
    public SlotGates(final TargetRegistry register, final SlotGate.Dependencies ports) {
        this.register = Objects.requireNonNull(register, "register");
        this.ports = Objects.requireNonNull(ports, "ports");
    }

    /** Opens and closes gates as the register says. */
    public synchronized void update() {
        Set<String> accepting = new HashSet<>();
        for (TargetAnnouncement announcement : register.acceptingTargets()) {
            accepting.add(announcement.target());
            SlotGate gate = open.get(announcement.target());
            if (gate != null && isSameIncarnation(gate.target(), announcement)) {
                gate.refresh(announcement);
            } else {
                if (gate != null) {
                    close(gate);
                }
                open.put(announcement.target(), new SlotGate(announcement, ports));
            }
        }
        for (Map.Entry<String, SlotGate> entry : open.entrySet()) {
            if (!accepting.contains(entry.getKey())) {
                open.remove(entry.getKey());
                close(entry.getValue());
            }
        }
        closing.removeIf(gate -> gate.running() == 0);
    }

    private static boolean isSameIncarnation(final TargetAnnouncement known, final TargetAnnouncement latest) {
        return known.startedAtMs() == latest.startedAtMs()
                && known.slots() == latest.slots()
                && known.address().equals(latest.address())
                && known.version().equals(latest.version());
    }

    private void close(final SlotGate gate) {
        gate.close(Reason.DRAINING);
        closing.add(gate);
    }

    /** Lets each gate refuse what waited too long. */
    public void tick() {
        open.values().forEach(SlotGate::tick);
    }

    @Override
    public CompletableFuture<CallResult> handle(final CallRequest request) {
        SlotGate gate = open.get(request.target());
        if (gate == null) {
            return CompletableFuture.completedFuture(CallResult.notRun(Reason.NO_TARGET));
        }
        return gate.handle(request);
    }

    /**
     * Describes the targets that take work.
     *
     * @return the reports, never null.
     */
    public List<TargetReport> reports() {
        return open.values().stream().map(SlotGate::report).toList();
    }

    /**
     * Describes the targets of one service that take work.
     *
     * @param service the service, not null.
     * @return the reports, never null.
     */
    public List<TargetReport> reports(final String service) {
        return open.values().stream()
                .filter(gate -> gate.target().service().equals(service))
                .map(SlotGate::report)
                .toList();
    }

    /**
     * Counts the calls that run at all targets.
     *
     * @return the number.
     */
    public synchronized int running() {
        int running = open.values().stream().mapToInt(SlotGate::running).sum();
        return running + closing.stream().mapToInt(SlotGate::running).sum();
    }
}
