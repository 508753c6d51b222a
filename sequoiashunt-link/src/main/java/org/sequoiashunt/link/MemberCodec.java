package org.sequoiashunt.link;

import org.sequoiashunt.link.wire.EntryProto;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MemberState;
import org.sequoiashunt.membership.ServedTarget;
import org.sequoiashunt.peer.NodeAddress;

/** Converts members and addresses to and from protobuf messages. Stateless and thread-safe. */
final class MemberCodec {

    private MemberCodec() {}

    static EntryProto.Member encode(final Member member) {
        EntryProto.Member.Builder builder = EntryProto.Member.newBuilder()
                .setNode(member.node())
                .setFailureDomain(member.failureDomain())
                .setRegion(member.region())
                .setAddress(encode(member.address()))
                .setState(EnumCodec.encode(member.state()))
                .setConfigurationVersion(member.configurationVersion());
        member.targets().forEach(target -> builder.addTargets(encode(target)));
        return builder.build();
    }

    static Member decode(final EntryProto.Member member) {
        return new Member(
                member.getNode(),
                member.getFailureDomain(),
                member.getRegion(),
                decode(member.getAddress()),
                EnumCodec.decode(MemberState.values(), member.getState()),
                member.getTargetsList().stream().map(MemberCodec::decode).toList(),
                member.getConfigurationVersion());
    }

    static EntryProto.NodeAddress encode(final NodeAddress address) {
        return EntryProto.NodeAddress.newBuilder()
                .setHost(address.host())
                .setPort(address.port())
                .build();
    }

    static NodeAddress decode(final EntryProto.NodeAddress address) {
        return new NodeAddress(address.getHost(), address.getPort());
    }

    private static EntryProto.ServedTarget encode(final ServedTarget target) {
        return EntryProto.ServedTarget.newBuilder()
                .setTarget(target.target())
                .setService(target.service())
                .setTargetVersion(target.targetVersion())
                .setSlots(target.slots())
                .setState(EnumCodec.encode(target.state()))
                .build();
    }

    private static ServedTarget decode(final EntryProto.ServedTarget target) {
        return new ServedTarget(
                target.getTarget(),
                target.getService(),
                target.getTargetVersion(),
                target.getSlots(),
                EnumCodec.decode(MemberState.values(), target.getState()));
    }
}
