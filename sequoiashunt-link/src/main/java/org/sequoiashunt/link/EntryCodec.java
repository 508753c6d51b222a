package org.sequoiashunt.link;

import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.execution.QuarantinedRequest;
import org.sequoiashunt.execution.Roster;
import org.sequoiashunt.link.wire.EntryProto;
import org.sequoiashunt.membership.Departure;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.Suspicion;
import org.sequoiashunt.rollout.Evidence;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.rollout.Stage;

/**
 * Converts entries of the blackboard to and from protobuf messages. Decoding throws {@link IllegalArgumentException}
 * if an entry violates an invariant of its record or has an unknown type. Stateless and thread-safe.
 */
final class EntryCodec {

    private EntryCodec() {}

    static EntryProto.Entry encode(final Entry entry) {
        EntryProto.Entry.Builder builder = EntryProto.Entry.newBuilder()
                .setKey(encode(entry.key()))
                .setWriter(entry.writer())
                .setVersion(encode(entry.version()));
        encode(entry.value(), builder);
        return builder.build();
    }

    static Entry decode(final EntryProto.Entry entry) {
        return new Entry(decode(entry.getKey()), entry.getWriter(), decode(entry.getVersion()), value(entry));
    }

    static EntryProto.EntryKey encode(final EntryKey key) {
        return EntryProto.EntryKey.newBuilder()
                .setSection(EnumCodec.encode(key.section()))
                .setName(key.name())
                .build();
    }

    static EntryKey decode(final EntryProto.EntryKey key) {
        return EntryKey.of(EnumCodec.decode(Section.values(), key.getSection()), key.getName());
    }

    static EntryProto.EntryVersion encode(final EntryVersion version) {
        return EntryProto.EntryVersion.newBuilder()
                .setMajor(version.major())
                .setMinor(version.minor())
                .build();
    }

    static EntryVersion decode(final EntryProto.EntryVersion version) {
        return EntryVersion.of(version.getMajor(), version.getMinor());
    }

    private static void encode(final EntryValue value, final EntryProto.Entry.Builder builder) {
        if (value instanceof ConfigurationHead head) {
            builder.setConfigurationHead(ConfigurationCodec.encode(head));
        } else if (value instanceof ServiceConfiguration service) {
            builder.setServiceConfiguration(ConfigurationCodec.encode(service));
        } else if (value instanceof Member member) {
            builder.setMember(MemberCodec.encode(member));
        } else if (value instanceof RolloutProgress progress) {
            builder.setRolloutProgress(encode(progress));
        } else if (value instanceof Evidence evidence) {
            builder.setEvidence(encode(evidence));
        } else if (value instanceof QuarantinedRequest request) {
            builder.setQuarantinedRequest(encode(request));
        } else if (value instanceof Roster roster) {
            builder.setRoster(encode(roster));
        } else if (value instanceof Suspicion suspicion) {
            builder.setSuspicion(EntryProto.Suspicion.newBuilder().setMember(suspicion.member()));
        } else if (value instanceof Departure departure) {
            builder.setDeparture(EntryProto.Departure.newBuilder()
                    .setMember(departure.member())
                    .setAtMs(departure.atMs()));
        } else {
            throw new IllegalArgumentException(
                    "no protobuf message for entry value " + value.getClass().getName());
        }
    }

    private static EntryValue value(final EntryProto.Entry entry) {
        return switch (entry.getValueCase()) {
            case CONFIGURATION_HEAD -> ConfigurationCodec.decode(entry.getConfigurationHead());
            case SERVICE_CONFIGURATION -> ConfigurationCodec.decode(entry.getServiceConfiguration());
            case MEMBER -> MemberCodec.decode(entry.getMember());
            case ROLLOUT_PROGRESS -> decode(entry.getRolloutProgress());
            case EVIDENCE -> decode(entry.getEvidence());
            case QUARANTINED_REQUEST -> decode(entry.getQuarantinedRequest());
            case ROSTER -> decode(entry.getRoster());
            case SUSPICION -> new Suspicion(entry.getSuspicion().getMember());
            case DEPARTURE ->
                new Departure(
                        entry.getDeparture().getMember(), entry.getDeparture().getAtMs());
            default -> throw new IllegalArgumentException("entry has no value or a value of an unknown type");
        };
    }

    private static EntryProto.RolloutProgress encode(final RolloutProgress progress) {
        return EntryProto.RolloutProgress.newBuilder()
                .setMove(progress.move())
                .setService(progress.service())
                .setStage(EnumCodec.encode(progress.stage()))
                .setShareParts(progress.shareParts())
                .setReason(progress.reason())
                .build();
    }

    private static RolloutProgress decode(final EntryProto.RolloutProgress progress) {
        return new RolloutProgress(
                progress.getMove(),
                progress.getService(),
                EnumCodec.decode(Stage.values(), progress.getStage()),
                progress.getShareParts(),
                progress.getReason());
    }

    private static EntryProto.Evidence encode(final Evidence evidence) {
        return EntryProto.Evidence.newBuilder()
                .setNode(evidence.node())
                .setService(evidence.service())
                .setTargetVersion(evidence.targetVersion())
                .setRoute(evidence.route())
                .setRequests(evidence.requests())
                .setFailures(evidence.failures())
                .addAllLatencyBuckets(evidence.latencyBuckets())
                .build();
    }

    private static Evidence decode(final EntryProto.Evidence evidence) {
        return new Evidence(
                evidence.getNode(),
                evidence.getService(),
                evidence.getTargetVersion(),
                evidence.getRoute(),
                evidence.getRequests(),
                evidence.getFailures(),
                evidence.getLatencyBucketsList());
    }

    private static EntryProto.QuarantinedRequest encode(final QuarantinedRequest request) {
        return EntryProto.QuarantinedRequest.newBuilder()
                .setFingerprint(request.fingerprint())
                .setCrashes(request.crashes())
                .setExpiresMs(request.expiresMs())
                .build();
    }

    private static QuarantinedRequest decode(final EntryProto.QuarantinedRequest request) {
        return new QuarantinedRequest(request.getFingerprint(), request.getCrashes(), request.getExpiresMs());
    }

    static EntryProto.Roster encode(final Roster roster) {
        return EntryProto.Roster.newBuilder()
                .setGroup(roster.group())
                .setEpoch(roster.epoch())
                .addAllGuards(roster.guards())
                .build();
    }

    static Roster decode(final EntryProto.Roster roster) {
        return new Roster(roster.getGroup(), roster.getEpoch(), roster.getGuardsList());
    }
}
