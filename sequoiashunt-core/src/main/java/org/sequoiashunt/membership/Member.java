package org.sequoiashunt.membership;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Entry that a node publishes about itself. The entry's name and writer are the node; its version is incarnation and
 * sequence.
 *
 * <p>Immutable and thread-safe. Invariant: the list of targets is unmodifiable.
 *
 * @param node the name of the node, unique in the deployment.
 * @param failureDomain the failure domain of the node's VM.
 * @param region the region of the failure domain.
 * @param address where other nodes reach this node.
 * @param state the state of the node.
 * @param targets the targets that have announced themselves to this node, with the state of each.
 * @param configurationVersion the version in force on the node, zero for none.
 */
public record Member(
        String node,
        String failureDomain,
        String region,
        NodeAddress address,
        MemberState state,
        List<ServedTarget> targets,
        long configurationVersion)
        implements EntryValue {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public Member {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(state, "state");
        targets = List.copyOf(targets);
    }

    /**
     * Returns this member in another state.
     *
     * @param changed the state, not null.
     * @return the changed member, never null.
     */
    public Member withState(final MemberState changed) {
        return new Member(node, failureDomain, region, address, changed, targets, configurationVersion);
    }

    /**
     * Returns this member with other targets.
     *
     * @param changed the targets, not null.
     * @return the changed member, never null.
     */
    public Member withTargets(final List<ServedTarget> changed) {
        return new Member(node, failureDomain, region, address, state, changed, configurationVersion);
    }

    /**
     * Returns this member with another configuration version in force.
     *
     * @param changed the version, zero for none.
     * @return the changed member, never null.
     */
    public Member withConfigurationVersion(final long changed) {
        return new Member(node, failureDomain, region, address, state, targets, changed);
    }

    @Override
    public Section section() {
        return Section.MEMBER;
    }
}
