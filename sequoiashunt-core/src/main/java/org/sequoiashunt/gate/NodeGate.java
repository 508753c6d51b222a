package org.sequoiashunt.gate;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiashunt.call.CallHandler;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.call.TargetCaller;
import org.sequoiashunt.membership.MemberState;
import org.sequoiashunt.membership.ServedTarget;
import org.sequoiashunt.rollout.EvidenceRecorder;
import org.sequoiashunt.time.Clock;

/**
 * All targets of a node, each behind its own bounded queue.
 *
 * <p>Targets enter with {@link #announce} and leave with {@link #withdraw} or when their announcement is not renewed.
 * Call {@link #tick()} several times a second.
 *
 * <p>Thread-safe: one shard for each target, under its own lock. Invariants: a target that leaves gets no new work; a
 * call that this class refuses was never dispatched.
 */
public final class NodeGate implements CallHandler {

    /** An announcement that is not renewed within this time has ended. */
    public static final long ANNOUNCEMENT_MS = 3_000;

    /** Most targets on one VM. */
    public static final int MAXIMUM_TARGETS = 16;

    private final TargetGate.Dependencies ports;
    private final Map<String, Registration> registrations = new ConcurrentHashMap<>();
    private volatile boolean draining;

    /**
     * Creates a gate without targets.
     *
     * @param clock the clock, not null.
     * @param targets sends calls to targets, not null.
     * @param evidence told of each run, not null.
     * @param crashPolicy decides about requests that crash targets, not null.
     */
    public NodeGate(
            final Clock clock,
            final TargetCaller targets,
            final EvidenceRecorder evidence,
            final CrashPolicy crashPolicy) {
        this.ports = new TargetGate.Dependencies(
                Objects.requireNonNull(clock, "clock"),
                Objects.requireNonNull(targets, "targets"),
                Objects.requireNonNull(evidence, "evidence"),
                Objects.requireNonNull(crashPolicy, "crashPolicy"));
    }

    /**
     * Takes a target in, or renews its announcement.
     *
     * @param target the announcement, not null.
     * @return true if the target was accepted; false if it is leaving, the node is leaving, or there are too many.
     */
    public boolean announce(final AnnouncedTarget target) {
        Objects.requireNonNull(target, "target");
        if (draining || isFull(target)) {
            return false;
        }
        long renewedMs = ports.clock().nowMs();
        Registration accepted = registrations.compute(target.target(), (name, present) -> {
            if (present == null || !present.gate().target().equals(target) && present.isIdle()) {
                return new Registration(new TargetGate(target, ports), renewedMs);
            }
            boolean renewable =
                    present.gate().target().equals(target) && !present.gate().isDraining();
            return renewable ? new Registration(present.gate(), renewedMs) : present;
        });
        return accepted.gate().target().equals(target) && !accepted.gate().isDraining();
    }

    private boolean isFull(final AnnouncedTarget target) {
        return registrations.size() >= MAXIMUM_TARGETS && !registrations.containsKey(target.target());
    }

    /**
     * Lets a target leave: new work ends at once, work in flight ends by itself.
     *
     * @param target the name of the target, not null.
     * @return completes when the target is idle; at once if it is unknown.
     */
    public CompletableFuture<Void> withdraw(final String target) {
        Registration registration = registrations.get(Objects.requireNonNull(target, "target"));
        if (registration == null) {
            return CompletableFuture.completedFuture(null);
        }
        return registration.gate().drain();
    }

    /**
     * Lets all targets leave.
     *
     * @return completes when no call is in flight.
     */
    public CompletableFuture<Void> drain() {
        draining = true;
        List<CompletableFuture<Void>> ends = new ArrayList<>();
        registrations
                .values()
                .forEach(registration -> ends.add(registration.gate().drain()));
        return CompletableFuture.allOf(ends.toArray(CompletableFuture[]::new));
    }

    /** Ends announcements that were not renewed, refuses calls that have waited too long, and forgets idle targets. */
    public void tick() {
        long nowMs = ports.clock().nowMs();
        for (Registration registration : registrations.values()) {
            if (draining || nowMs - registration.renewedMs() > ANNOUNCEMENT_MS) {
                registration.gate().drain();
            }
            registration.gate().expire();
        }
        registrations.values().removeIf(Registration::isIdle);
    }

    /**
     * Lists the targets as other nodes are to see them.
     *
     * @return the targets, ordered by name.
     */
    public List<ServedTarget> servedTargets() {
        return registrations.values().stream()
                .map(registration -> served(registration.gate()))
                .sorted((first, second) -> first.target().compareTo(second.target()))
                .toList();
    }

    private static ServedTarget served(final TargetGate gate) {
        AnnouncedTarget target = gate.target();
        MemberState state = gate.isDraining() ? MemberState.DRAINING : MemberState.SERVING;
        return new ServedTarget(target.target(), target.service(), target.targetVersion(), target.slots(), state);
    }

    /**
     * Counts the calls that run or wait.
     *
     * @return the number of calls.
     */
    public int load() {
        Collection<Registration> present = registrations.values();
        return present.stream()
                .mapToInt(registration -> registration.gate().load())
                .sum();
    }

    @Override
    public CompletableFuture<CallResult> handle(final CallRequest request) {
        Objects.requireNonNull(request, "request");
        Optional<TargetGate> gate = Optional.ofNullable(registrations.get(request.target()))
                .map(Registration::gate)
                .filter(present -> runs(present.target(), request));
        if (gate.isEmpty()) {
            return CompletableFuture.completedFuture(CallResult.notRun(Reason.NO_TARGET));
        }
        return gate.get().handle(request);
    }

    private static boolean runs(final AnnouncedTarget target, final CallRequest request) {
        return target.service().equals(request.service())
                && target.targetVersion().equals(request.targetVersion());
    }

    /** Target with the time of its last announcement. Immutable and thread-safe. */
    private record Registration(TargetGate gate, long renewedMs) {

        private boolean isIdle() {
            return gate.isDraining() && gate.load() == 0;
        }
    }
}
