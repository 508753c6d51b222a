package org.sequoiashunt.trial.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MemberState;
import org.sequoiashunt.membership.ServedTarget;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.rollout.Stage;
import org.sequoiashunt.time.SteppedClock;

/**
 * Runs one move of one service on a stepped clock, with the product's own rollout parts and modelled requests.
 *
 * <p>Confined to one thread. The same seed gives the same trial.
 */
final class RolloutTrial {

    static final String FROM = "2026.11";
    static final String TO = "2026.12";

    private static final int DOMAINS = 4;
    private static final long START_MS = 1_000_000;
    private static final long STEP_MS = 25;
    private static final int STEPS_PER_TICK = 8;
    private static final long OVERTIME_MS = 30_000;
    private static final long SETTLE_MS = 5_000;

    private final Workload workload;
    private final SteppedClock clock = SteppedClock.of(START_MS);
    private final ServiceConfiguration configuration;
    private final List<TrialDomain> domains = new ArrayList<>();
    private final List<TrialNode> nodes = new ArrayList<>();
    private final TrialTraffic traffic;
    private long decidedMs = -1;
    private long doneMs = -1;
    private long takenBackMs = -1;

    RolloutTrial(final VersionKind kind, final TrialPolicy policy, final int fixedRate, final long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        this.workload = Workload.draw(random, fixedRate);
        VersionKind.Behaviour behaviour = kind.draw(random, workload);
        this.configuration = configuration();
        TrialMoveRegistry register = new TrialMoveRegistry(kind == VersionKind.GOOD_STORE_OUTAGE);
        for (int number = 0; number < DOMAINS; number++) {
            domains.add(new TrialDomain(number));
        }
        for (int number = 0; number < workload.targets(); number++) {
            TrialDomain domain = domains.get(number % DOMAINS);
            nodes.add(new TrialNode("node-" + number, domain, register, policy, clock, random.split()));
        }
        domains.forEach(this::fill);
        this.traffic =
                new TrialTraffic(workload, configuration, kind.isBad(), behaviour, nodes, START_MS, random.split());
    }

    /**
     * Runs the trial to its end.
     *
     * @return what happened, never null.
     */
    TrialResult run() {
        long endMs = START_MS + workload.windowMs() + OVERTIME_MS;
        for (int step = 0; clock.nowMs() < endMs && !isSettled(); step++) {
            long nowMs = clock.advance(STEP_MS);
            domains.forEach(domain -> domain.deliver(nowMs));
            traffic.step(nowMs, STEP_MS);
            tickNodes(step);
            domains.forEach(domain -> domain.replicate(domains, nowMs));
            observe(nowMs);
        }
        return result();
    }

    private void tickNodes(final int step) {
        for (int number = 0; number < nodes.size(); number++) {
            if ((step + 3 * number) % STEPS_PER_TICK == 0) {
                nodes.get(number).tick();
            }
        }
    }

    private boolean isSettled() {
        return decidedMs >= 0 && clock.nowMs() - decidedMs > SETTLE_MS;
    }

    private void observe(final long nowMs) {
        int done = 0;
        int takenBack = 0;
        for (TrialDomain domain : domains) {
            Optional<RolloutProgress> progress = progress(domain);
            boolean whole = progress.filter(present -> present.shareParts() == RolloutProgress.WHOLE_SHARE_PARTS)
                    .isPresent();
            boolean back = progress.filter(present ->
                            present.stage() == Stage.TAKEN_BACK || present.stage() == Stage.SEALED_TAKEN_BACK)
                    .isPresent();
            done += whole ? 1 : 0;
            takenBack += back ? 1 : 0;
        }
        if (takenBack > 0 && takenBackMs < 0) {
            takenBackMs = nowMs - START_MS;
        }
        if (done == domains.size() && doneMs < 0) {
            doneMs = nowMs - START_MS;
        }
        if (takenBack == domains.size() || done == domains.size()) {
            decidedMs = decidedMs < 0 ? nowMs : decidedMs;
        }
    }

    private Optional<RolloutProgress> progress(final TrialDomain domain) {
        String move = configuration.moveIdentity().orElseThrow();
        return domain.blackboard().value(Section.ROLLOUT, move, RolloutProgress.class);
    }

    private TrialResult result() {
        Optional<RolloutProgress> last = progress(domains.get(0));
        boolean back = takenBackMs >= 0;
        boolean done = !back && doneMs >= 0;
        return traffic.result(
                done,
                done && doneMs <= workload.windowMs(),
                back,
                takenBackMs,
                last.map(RolloutProgress::reason).orElse(""));
    }

    private ServiceConfiguration configuration() {
        Move move = new Move(FROM, TO, START_MS + workload.windowMs());
        List<Route> routes = new ArrayList<>();
        for (TrialRoute route : TrialRoute.values()) {
            routes.add(new Route(route.routeName(), "/" + route.routeName(), Set.of("POST"), false, 1_000));
        }
        return new ServiceConfiguration(workload.service(), FROM, Optional.of(move), routes, List.of());
    }

    private void fill(final TrialDomain domain) {
        Blackboard blackboard = domain.blackboard();
        TreeMap<String, String> parts = new TreeMap<>();
        parts.put(workload.service(), "digest");
        ConfigurationHead head = new ConfigurationHead(1, "commit", parts, Collections.emptySortedMap());
        blackboard.merge(Entry.of("digest", "store", EntryVersion.of(1, 0), configuration));
        blackboard.merge(Entry.of(ConfigurationHead.NAME, "store", EntryVersion.of(1, 0), head));
        for (int number = 0; number < nodes.size(); number++) {
            String name = nodes.get(number).name();
            String failureDomain = domains.get(number % DOMAINS).failureDomain();
            blackboard.merge(Entry.of(name, name, EntryVersion.of(1, 1), member(name, failureDomain)));
        }
    }

    private Member member(final String name, final String failureDomain) {
        List<ServedTarget> targets = List.of(
                new ServedTarget("old", workload.service(), FROM, workload.slots(), MemberState.SERVING),
                new ServedTarget("new", workload.service(), TO, workload.slots(), MemberState.SERVING));
        NodeAddress address = new NodeAddress("127.0.0.1", 7000);
        return new Member(name, failureDomain, "region", address, MemberState.SERVING, targets, 1);
    }
}
