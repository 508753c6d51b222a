package org.sequoiashunt.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jboss.logging.Logger;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.execution.QuarantinedRequest;
import org.sequoiashunt.lead.ReplicaNode;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.rollout.Stage;

/**
 * Logs changes of the state that operators follow: the state of this node, the lead, refused configurations, members of
 * the failure domain, stages of moves and quarantined requests.
 *
 * <p>Confined to the control thread. Invariant: an unchanged state is not logged again.
 */
final class StateLog implements Controller {

    /** Number of crashes from which all nodes refuse a request. */
    private static final int CRASHES_TO_QUARANTINE = 2;

    private static final Logger LOGGER = Logger.getLogger(StateLog.class);

    private final ReplicaNode replica;
    private final String failureDomain;
    private final Map<String, Stage> loggedStages = new HashMap<>();
    private Set<String> loggedMembers = Set.of();
    private Set<String> loggedQuarantined = Set.of();
    private String loggedState = "";
    private String loggedRefusal = "";
    private boolean loggedLead;
    private long loggedRolloutChanges = -1;
    private long loggedQuarantineChanges = -1;

    StateLog(final ReplicaNode replica, final String failureDomain) {
        this.replica = Objects.requireNonNull(replica, "replica");
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
    }

    @Override
    public void tick() {
        logNodeState();
        logLead();
        logRefusal();
        logMembers();
        logMoves();
        logQuarantine();
    }

    private void logNodeState() {
        String current = replica.membership().localMember().member().state().name();
        if (!current.equals(loggedState)) {
            LOGGER.infof("node state changed state=%s", current);
            loggedState = current;
        }
    }

    private void logLead() {
        boolean current = replica.lease().isHeld();
        if (current != loggedLead) {
            LOGGER.infof("lead of failure domain %s", current ? "acquired" : "lost");
            loggedLead = current;
        }
    }

    private void logRefusal() {
        String current = replica.configuration().refusal();
        if (!current.equals(loggedRefusal)) {
            if (!current.isEmpty()) {
                LOGGER.warnf("configuration refused reason=%s", current);
            }
            loggedRefusal = current;
        }
    }

    private void logMembers() {
        Set<String> current = new HashSet<>();
        for (Member member : replica.membership().view().presentInLeadOrder(failureDomain)) {
            current.add(member.node());
        }
        if (current.equals(loggedMembers)) {
            return;
        }
        difference(current, loggedMembers).forEach(node -> LOGGER.infof("member joined node=%s", node));
        difference(loggedMembers, current).forEach(node -> LOGGER.warnf("member gone node=%s", node));
        loggedMembers = current;
    }

    private void logMoves() {
        long changeCount = replica.blackboard().changeCount(Section.ROLLOUT);
        if (changeCount == loggedRolloutChanges) {
            return;
        }
        loggedRolloutChanges = changeCount;
        for (RolloutProgress progress : replica.blackboard().values(Section.ROLLOUT, RolloutProgress.class)) {
            if (loggedStages.put(progress.move(), progress.stage()) != progress.stage()) {
                LOGGER.infof("move %s stage=%s reason=%s", progress.move(), progress.stage(), progress.reason());
            }
        }
    }

    private void logQuarantine() {
        long changeCount = replica.blackboard().changeCount(Section.QUARANTINE);
        if (changeCount == loggedQuarantineChanges) {
            return;
        }
        loggedQuarantineChanges = changeCount;
        Set<String> current = new HashSet<>();
        for (QuarantinedRequest request : replica.blackboard().values(Section.QUARANTINE, QuarantinedRequest.class)) {
            if (request.crashes() >= CRASHES_TO_QUARANTINE) {
                current.add(request.fingerprint());
            }
        }
        difference(current, loggedQuarantined)
                .forEach(each -> LOGGER.warnf("request quarantined fingerprint=%s", each));
        difference(loggedQuarantined, current).forEach(each -> LOGGER.infof("quarantine ended fingerprint=%s", each));
        loggedQuarantined = current;
    }

    private static Set<String> difference(final Set<String> first, final Set<String> second) {
        Set<String> difference = new HashSet<>(first);
        difference.removeAll(second);
        return difference;
    }
}
