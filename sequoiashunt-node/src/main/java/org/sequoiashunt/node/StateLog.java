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
 * Writes a line for each change of state that operators need: this node's own state, the lead, refused configurations,
 * members of the failure domain, stages of moves and quarantined requests.
 *
 * <p>Confined to the control thread. Invariant: nothing is written while nothing changes.
 */
final class StateLog implements Controller {

    /** Crashes from which a request is refused everywhere. */
    private static final int QUARANTINED_CRASHES = 2;

    private static final Logger LOGGER = Logger.getLogger(StateLog.class);

    private final ReplicaNode replica;
    private final String failureDomain;
    private final Map<String, Stage> stages = new HashMap<>();
    private Set<String> members = Set.of();
    private Set<String> quarantined = Set.of();
    private String state = "";
    private String refusal = "";
    private boolean lead;
    private long rolloutChanges = -1;
    private long quarantineChanges = -1;

    StateLog(final ReplicaNode replica, final String failureDomain) {
        this.replica = Objects.requireNonNull(replica, "replica");
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
    }

    @Override
    public void tick() {
        logOwnState();
        logLead();
        logRefusal();
        logMembers();
        logMoves();
        logQuarantine();
    }

    private void logOwnState() {
        String present = replica.membership().localMember().member().state().name();
        if (!present.equals(state)) {
            LOGGER.infof("node state changed state=%s", present);
            state = present;
        }
    }

    private void logLead() {
        boolean present = replica.lease().isHeld();
        if (present != lead) {
            LOGGER.infof("lead of failure domain %s", present ? "acquired" : "lost");
            lead = present;
        }
    }

    private void logRefusal() {
        String present = replica.configuration().refusal();
        if (!present.equals(refusal)) {
            if (!present.isEmpty()) {
                LOGGER.warnf("configuration refused reason=%s", present);
            }
            refusal = present;
        }
    }

    private void logMembers() {
        Set<String> present = new HashSet<>();
        for (Member member : replica.membership().view().presentInLeadOrder(failureDomain)) {
            present.add(member.node());
        }
        if (present.equals(members)) {
            return;
        }
        difference(present, members).forEach(node -> LOGGER.infof("member joined node=%s", node));
        difference(members, present).forEach(node -> LOGGER.warnf("member gone node=%s", node));
        members = present;
    }

    private void logMoves() {
        long changes = replica.blackboard().changeCount(Section.ROLLOUT);
        if (changes == rolloutChanges) {
            return;
        }
        rolloutChanges = changes;
        for (RolloutProgress progress : replica.blackboard().values(Section.ROLLOUT, RolloutProgress.class)) {
            if (stages.put(progress.move(), progress.stage()) != progress.stage()) {
                LOGGER.infof("move %s stage=%s reason=%s", progress.move(), progress.stage(), progress.reason());
            }
        }
    }

    private void logQuarantine() {
        long changes = replica.blackboard().changeCount(Section.QUARANTINE);
        if (changes == quarantineChanges) {
            return;
        }
        quarantineChanges = changes;
        Set<String> present = new HashSet<>();
        for (QuarantinedRequest request : replica.blackboard().values(Section.QUARANTINE, QuarantinedRequest.class)) {
            if (request.crashes() >= QUARANTINED_CRASHES) {
                present.add(request.fingerprint());
            }
        }
        difference(present, quarantined).forEach(each -> LOGGER.warnf("request quarantined fingerprint=%s", each));
        difference(quarantined, present).forEach(each -> LOGGER.infof("quarantine ended fingerprint=%s", each));
        quarantined = present;
    }

    private static Set<String> difference(final Set<String> first, final Set<String> second) {
        Set<String> difference = new HashSet<>(first);
        difference.removeAll(second);
        return difference;
    }
}
