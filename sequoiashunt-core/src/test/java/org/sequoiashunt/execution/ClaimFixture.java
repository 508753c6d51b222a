package org.sequoiashunt.execution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.execution.HomeGroupSource.HomeGroupLists;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

/** Runs three guards and two entries on one manual clock; messages are queued until the test delivers them. */
final class ClaimFixture {

    static final ClaimTiming TIMING = ClaimTiming.defaults();
    static final Roster ROSTER = new Roster("east", 1, List.of("guard1", "guard2", "guard3"));
    static final long CALL_TIMEOUT_MS = 10_000;

    final Set<ClaimRule> rules;
    final SteppedClock clock = SteppedClock.of(1_000_000);
    final Map<String, ClaimGuard> guards = new HashMap<>();
    final Map<String, ClaimCoordinator> entries = new HashMap<>();
    final Set<String> unreachable = new HashSet<>();
    private final Deque<Envelope> messages = new ArrayDeque<>();

    ClaimFixture() {
        this(ClaimRule.all());
    }

    ClaimFixture(final Set<ClaimRule> rules) {
        this.rules = rules;
        ROSTER.guards().forEach(name -> startGuard(name, Optional.empty()));
        startEntry("entry1", ROSTER);
        startEntry("entry2", ROSTER);
        advance(TIMING.heartbeatMs());
    }

    void startGuard(final String name, final Optional<Roster> stored) {
        GuardState state = new GuardState(name, "east", clock, TIMING, rules);
        state.recordStoreRead(stored);
        state.adopt(ROSTER);
        ClaimCapacity capacity = ClaimCapacity.defaults();
        guards.put(
                name, new ClaimGuard(name, state, new Blackboard(), clock, TIMING, capacity, rules, messenger(name)));
    }

    void startEntry(final String name, final Roster roster) {
        Blackboard blackboard = new Blackboard();
        ClaimGuard.publish(blackboard, roster);
        HomeGroupSource source = () -> Map.of("ledger", new HomeGroupLists(List.of("east"), List.of()));
        HomeGroupResolver homes = new HomeGroupResolver(source, clock, TIMING, rules);
        entries.put(name, new ClaimCoordinator(blackboard, homes, clock, TIMING, rules, messenger(name)));
    }

    /** Sends a roster to the guards that it lists. */
    void sendRoster(final Roster roster) {
        roster.guards().forEach(name -> guards.get(name).receive("store", new RosterNotice(roster)));
        deliver();
    }

    CompletableFuture<Optional<CallResult>> claim(final String entry, final String attempt) {
        return entries.get(entry).claim("ledger", "key", attempt, clock.nowMs() + CALL_TIMEOUT_MS);
    }

    boolean beginDispatch(final String entry, final String attempt) {
        return entries.get(entry).beginDispatch("ledger", "key", attempt);
    }

    void record(final String entry, final String attempt, final CallResult result) {
        entries.get(entry).record("ledger", "key", attempt, result);
        deliver();
    }

    void advance(final long durationMs) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
            clock.advance(100);
            guards.values().forEach(ClaimGuard::tick);
            entries.values().forEach(ClaimCoordinator::tick);
            deliver();
        }
    }

    void deliver() {
        while (!messages.isEmpty()) {
            Envelope envelope = messages.poll();
            if (unreachable.contains(envelope.from) || unreachable.contains(envelope.to)) {
                continue;
            }
            if (guards.containsKey(envelope.to)) {
                guards.get(envelope.to).receive(envelope.from, envelope.message);
            } else {
                entries.get(envelope.to).receive(envelope.from, envelope.message);
            }
        }
    }

    /** Delivers the queued messages of one node to another and the replies to them; other messages stay queued. */
    void deliverOnly(final String from, final String to) {
        List<Envelope> waiting = List.copyOf(messages);
        messages.clear();
        waiting.stream()
                .filter(envelope -> envelope.from.equals(from) && envelope.to.equals(to))
                .forEach(envelope -> {
                    messages.add(envelope);
                    deliver();
                });
        waiting.stream()
                .filter(envelope -> !envelope.from.equals(from) || !envelope.to.equals(to))
                .forEach(messages::add);
    }

    private ControlMessenger messenger(final String from) {
        return new ControlMessenger(
                (address, message) -> messages.add(new Envelope(from, address.host(), message)),
                node -> Optional.of(new NodeAddress(node, 1)));
    }

    /** Queued message with its sender and receiver. Immutable. */
    private record Envelope(String from, String to, ControlMessage message) {}
}
