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
 * Admits calls to the targets of a node; each target has a bounded queue.
 *
 * <p>Targets are added by {@link #announce} and removed by {@link #withdraw} or when their announcement expires.
 * Call {@link #tick()} several times a second.
 *
 * <p>Thread-safe: each target has a separate lock. Invariants: a draining target gets no new calls; a call that
 * this class refuses was never dispatched.
 */
public final class NodeGate implements CallHandler {

    /** Time after which an announcement expires unless it is renewed, in milliseconds. */
    public static final long ANNOUNCEMENT_TIMEOUT_MS = 3_000;

    /** Maximum number of targets on one VM. */
    public static final int MAXIMUM_TARGETS = 16;

    private final TargetGate.Dependencies dependencies;
    private final Map<String, Registration> registrations = new ConcurrentHashMap<>();
    private volatile boolean draining;

    /**
     * Creates a gate without targets.
     *
     * @param clock the clock, not null.
     * @param targets sends calls to targets, not null.
     * @param evidence records the result and duration of each run, not null.
     * @param crashPolicy restricts requests that have crashed targets, not null.
     */
    public NodeGate(
            final Clock clock,
            final TargetCaller targets,
            final EvidenceRecorder evidence,
            final CrashPolicy crashPolicy) {
        this.dependencies = new TargetGate.Dependencies(
                Objects.requireNonNull(clock, "clock"),
                Objects.requireNonNull(targets, "targets"),
                Objects.requireNonNull(evidence, "evidence"),
                Objects.requireNonNull(crashPolicy, "crashPolicy"));
    }

    /**
     * Adds a target, or renews its announcement.
     *
     * @param target the announcement, not null.
     * @return true if the target was accepted; false if the target or the node is draining, if a target of
     *     this name with another announcement is present, or if there are already {@link #MAXIMUM_TARGETS}.
     */
    public boolean announce(final AnnouncedTarget target) {
        Objects.requireNonNull(target, "target");
        if (draining || isFull(target)) {
            return false;
        }
        long renewedMs = dependencies.clock().nowMs();
        Registration accepted = registrations.compute(target.target(), (name, present) -> {
            if (present == null || !present.gate().target().equals(target) && present.isIdle()) {
                return new Registration(new TargetGate(target, dependencies), renewedMs);
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
     * Drains a target: refuses new and waiting calls at once and lets running calls finish.
     *
     * @param target the name of the target, not null.
     * @return completes when the target is idle; already complete if no such target is announced.
     */
    public CompletableFuture<Void> withdraw(final String target) {
        Registration registration = registrations.get(Objects.requireNonNull(target, "target"));
        if (registration == null) {
            return CompletableFuture.completedFuture(null);
        }
        return registration.gate().drain();
    }

    /**
     * Drains all targets.
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

    /** Drains targets whose announcements have expired, refuses calls whose wait has expired, removes idle targets. */
    public void tick() {
        long nowMs = dependencies.clock().nowMs();
        for (Registration registration : registrations.values()) {
            if (draining || nowMs - registration.renewedMs() > ANNOUNCEMENT_TIMEOUT_MS) {
                registration.gate().drain();
            }
            registration.gate().refuseExpired();
        }
        registrations.values().removeIf(Registration::isIdle);
    }

    /**
     * Lists the targets in the form that is published to other nodes.
     *
     * @return the targets, ordered by name.
     */
    public List<ServedTarget> servedTargets() {
        return registrations.values().stream()
                .map(registration -> toServedTarget(registration.gate()))
                .sorted((first, second) -> first.target().compareTo(second.target()))
                .toList();
    }

    private static ServedTarget toServedTarget(final TargetGate gate) {
        AnnouncedTarget target = gate.target();
        MemberState state = gate.isDraining() ? MemberState.DRAINING : MemberState.SERVING;
        return new ServedTarget(target.target(), target.service(), target.targetVersion(), target.slots(), state);
    }

    /**
     * Counts the running and waiting calls of all targets.
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
                .filter(present -> matches(present.target(), request));
        if (gate.isEmpty()) {
            return CompletableFuture.completedFuture(CallResult.notRun(Reason.NO_TARGET));
        }
        return gate.get().handle(request);
    }

    private static boolean matches(final AnnouncedTarget target, final CallRequest request) {
        return target.service().equals(request.service())
                && target.targetVersion().equals(request.targetVersion());
    }

    /** Holds a target and the time of its last announcement. Immutable and thread-safe. */
    private record Registration(TargetGate gate, long renewedMs) {

        private boolean isIdle() {
            return gate.isDraining() && gate.load() == 0;
        }
    }
}
