package org.sequoiashunt.link;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.fleet.ConfigurationCopy;
import org.sequoiashunt.fleet.ConfigurationRequest;
import org.sequoiashunt.fleet.CrashRecord;
import org.sequoiashunt.fleet.DepartureNotice;
import org.sequoiashunt.fleet.DepartureReceipt;
import org.sequoiashunt.fleet.Evacuation;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.ReportBatch;
import org.sequoiashunt.fleet.ReportRequest;
import org.sequoiashunt.fleet.RouteTime;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.fleet.VersionTally;
import org.sequoiashunt.fleet.VersionVerdict;
import org.sequoiashunt.link.wire.FleetProto;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.quota.QuotaGrant;
import org.sequoiashunt.quota.QuotaReport;
import org.sequoiashunt.target.TargetDeparture;

/**
 * Codec of node reports, batches of them, requests for and copies of configuration documents, and reports and grants of
 * limited requests. Stateless and thread-safe.
 */
public final class FleetCodec implements ControlCodec {

    private static final int SUBJECT = 4;

    @Override
    public int subject() {
        return SUBJECT;
    }

    @Override
    public boolean handles(final ControlMessage message) {
        return message instanceof NodeReport
                || message instanceof ConfigurationRequest
                || message instanceof ConfigurationCopy
                || message instanceof ReportBatch
                || message instanceof ReportRequest
                || message instanceof DepartureNotice
                || message instanceof DepartureReceipt
                || message instanceof QuotaReport
                || message instanceof QuotaGrant;
    }

    @Override
    public ByteString encode(final ControlMessage message) {
        FleetProto.Fleet.Builder builder = FleetProto.Fleet.newBuilder();
        if (message instanceof NodeReport report) {
            builder.setNodeReport(encode(report));
        } else if (message instanceof ConfigurationRequest request) {
            builder.setConfigurationRequest(FleetProto.ConfigurationRequest.newBuilder()
                    .setReplyTo(MemberCodec.encode(request.replyTo()))
                    .setKnownVersion(request.knownVersion()));
        } else if (message instanceof ReportBatch batch) {
            builder.setReportBatch(FleetProto.ReportBatch.newBuilder().setReports(encode(batch)));
        } else if (message instanceof ReportRequest request) {
            builder.setReportRequest(
                    FleetProto.ReportRequest.newBuilder().setReplyTo(MemberCodec.encode(request.replyTo())));
        } else if (message instanceof DepartureNotice notice) {
            FleetProto.DepartureNotice.Builder encoded = FleetProto.DepartureNotice.newBuilder()
                    .setNode(notice.node())
                    .addAllDepartures(encodeDepartures(notice.departures()));
            notice.replyTo().ifPresent(address -> encoded.setReplyTo(MemberCodec.encode(address)));
            builder.setDepartureNotice(encoded);
        } else if (message instanceof DepartureReceipt receipt) {
            builder.setDepartureReceipt(
                    FleetProto.DepartureReceipt.newBuilder().addAllDepartures(encodeDepartures(receipt.departures())));
        } else if (message instanceof QuotaReport report) {
            builder.setQuotaReport(QuotaCodec.encode(report));
        } else if (message instanceof QuotaGrant grant) {
            builder.setQuotaGrant(QuotaCodec.encode(grant));
        } else {
            ConfigurationCopy copy = (ConfigurationCopy) message;
            builder.setConfigurationCopy(FleetProto.ConfigurationCopy.newBuilder()
                    .setVersion(copy.version())
                    .setDocument(DocumentCompression.compress(copy.document())));
        }
        return builder.build().toByteString();
    }

    @Override
    public ControlMessage decode(final ByteString payload) throws InvalidProtocolBufferException {
        FleetProto.Fleet message = FleetProto.Fleet.parseFrom(payload);
        return switch (message.getContentCase()) {
            case NODE_REPORT -> decode(message.getNodeReport());
            case CONFIGURATION_REQUEST ->
                new ConfigurationRequest(
                        MemberCodec.decode(message.getConfigurationRequest().getReplyTo()),
                        message.getConfigurationRequest().getKnownVersion());
            case CONFIGURATION_COPY ->
                new ConfigurationCopy(
                        message.getConfigurationCopy().getVersion(),
                        DocumentCompression.decompress(
                                message.getConfigurationCopy().getDocument()));
            case REPORT_BATCH -> decode(message.getReportBatch());
            case REPORT_REQUEST ->
                new ReportRequest(MemberCodec.decode(message.getReportRequest().getReplyTo()));
            case DEPARTURE_NOTICE ->
                new DepartureNotice(
                        message.getDepartureNotice().getNode(),
                        decodeDepartures(message.getDepartureNotice().getDeparturesList()),
                        message.getDepartureNotice().hasReplyTo()
                                ? Optional.of(MemberCodec.decode(
                                        message.getDepartureNotice().getReplyTo()))
                                : Optional.empty());
            case DEPARTURE_RECEIPT ->
                new DepartureReceipt(
                        decodeDepartures(message.getDepartureReceipt().getDeparturesList()));
            case QUOTA_REPORT -> QuotaCodec.decode(message.getQuotaReport());
            case QUOTA_GRANT -> QuotaCodec.decode(message.getQuotaGrant());
            default -> throw new IllegalArgumentException("fleet payload has no message or one of an unknown type");
        };
    }

    private static List<FleetProto.TargetDeparture> encodeDepartures(final List<TargetDeparture> departures) {
        return departures.stream()
                .map(departure -> {
                    FleetProto.TargetDeparture.Builder encoded =
                            FleetProto.TargetDeparture.newBuilder().setTarget(departure.target());
                    departure.startedAtMs().ifPresent(encoded::setStartedAtMs);
                    return encoded.build();
                })
                .toList();
    }

    private static List<TargetDeparture> decodeDepartures(final List<FleetProto.TargetDeparture> departures) {
        return departures.stream()
                .map(departure -> new TargetDeparture(
                        departure.getTarget(),
                        departure.hasStartedAtMs()
                                ? OptionalLong.of(departure.getStartedAtMs())
                                : OptionalLong.empty()))
                .toList();
    }

    private static ByteString encode(final ReportBatch batch) {
        FleetProto.RelayedReports.Builder builder = FleetProto.RelayedReports.newBuilder();
        batch.reports()
                .forEach(relayed -> builder.addReports(FleetProto.RelayedReport.newBuilder()
                        .setReport(encode(relayed.report()))
                        .setAgeMs(relayed.ageMs())));
        return DocumentCompression.compress(Body.of(builder.build().toByteArray()));
    }

    private static ReportBatch decode(final FleetProto.ReportBatch batch) throws InvalidProtocolBufferException {
        Body reports = DocumentCompression.decompress(batch.getReports());
        return new ReportBatch(FleetProto.RelayedReports.parseFrom(reports.bytes()).getReportsList().stream()
                .map(relayed -> new ReportBatch.RelayedReport(decode(relayed.getReport()), relayed.getAgeMs()))
                .toList());
    }

    private static FleetProto.NodeReport encode(final NodeReport report) {
        FleetProto.NodeReport.Builder builder = FleetProto.NodeReport.newBuilder()
                .setNode(report.node())
                .setIncarnation(report.incarnation())
                .setSequence(report.sequence())
                .setAddress(MemberCodec.encode(report.address()))
                .setFailureDomain(report.failureDomain())
                .setRegion(report.region())
                .setCapacity(report.capacity())
                .setLeaving(report.leaving())
                .setConfigurationVersion(report.configurationVersion())
                .setEvacuationsUnknown(report.evacuationsUnknown());
        report.confirmedAgeMs().ifPresent(builder::setConfirmedAgeMs);
        report.targets().forEach(target -> builder.addTargets(encode(target)));
        report.tallies().forEach(tally -> builder.addTallies(encode(tally)));
        report.moves().forEach(move -> builder.addMoves(encode(move)));
        report.crashes()
                .forEach(crash -> builder.addCrashes(FleetProto.CrashRecord.newBuilder()
                        .setFingerprint(crash.fingerprint())
                        .setIncident(crash.incident())
                        .setAgeMs(crash.ageMs())));
        report.knownNodes()
                .forEach(node -> builder.addKnown(FleetProto.KnownNode.newBuilder()
                        .setNode(node.node())
                        .setAddress(MemberCodec.encode(node.address()))
                        .setFailureDomain(node.failureDomain())));
        report.evacuations()
                .forEach(evacuation -> builder.addEvacuations(FleetProto.Evacuation.newBuilder()
                        .setFailureDomain(evacuation.failureDomain())
                        .setRevision(evacuation.revision())
                        .setActive(evacuation.active())));
        return builder.build();
    }

    private static NodeReport decode(final FleetProto.NodeReport report) {
        return new NodeReport(
                report.getNode(),
                report.getIncarnation(),
                report.getSequence(),
                MemberCodec.decode(report.getAddress()),
                report.getFailureDomain(),
                report.getRegion(),
                report.getCapacity(),
                report.getLeaving(),
                report.getConfigurationVersion(),
                report.hasConfirmedAgeMs() ? OptionalLong.of(report.getConfirmedAgeMs()) : OptionalLong.empty(),
                report.getTargetsList().stream().map(FleetCodec::decode).toList(),
                report.getTalliesList().stream().map(FleetCodec::decode).toList(),
                report.getMovesList().stream().map(FleetCodec::decode).toList(),
                report.getCrashesList().stream()
                        .map(crash -> new CrashRecord(crash.getFingerprint(), crash.getIncident(), crash.getAgeMs()))
                        .toList(),
                report.getKnownList().stream()
                        .map(node -> new KnownNode(
                                node.getNode(), MemberCodec.decode(node.getAddress()), node.getFailureDomain()))
                        .toList(),
                report.getEvacuationsList().stream()
                        .map(evacuation -> new Evacuation(
                                evacuation.getFailureDomain(), evacuation.getRevision(), evacuation.getActive()))
                        .toList(),
                report.getEvacuationsUnknown());
    }

    private static FleetProto.TargetReport encode(final TargetReport target) {
        FleetProto.TargetReport.Builder builder = FleetProto.TargetReport.newBuilder()
                .setTarget(target.target())
                .setService(target.service())
                .setVersion(target.version())
                .setSlots(target.slots())
                .setAccepting(target.accepting())
                .setRunning(target.running())
                .setWaiting(target.waiting())
                .setMeanMs(target.meanMs())
                .setFailurePermille(target.failurePermille())
                .setWarmupLeftMs(target.warmupLeftMs())
                .setPacePercent(target.pacePercent());
        target.routeTimes()
                .forEach(time -> builder.addRouteTimes(
                        FleetProto.RouteTime.newBuilder().setRoute(time.route()).setMeanMs(time.meanMs())));
        return builder.build();
    }

    private static TargetReport decode(final FleetProto.TargetReport target) {
        return new TargetReport(
                target.getTarget(),
                target.getService(),
                target.getVersion(),
                target.getSlots(),
                target.getAccepting(),
                target.getRunning(),
                target.getWaiting(),
                target.getMeanMs(),
                target.getFailurePermille(),
                target.getWarmupLeftMs(),
                target.getRouteTimesList().stream()
                        .map(time -> new RouteTime(time.getRoute(), time.getMeanMs()))
                        .toList(),
                target.getPacePercent());
    }

    private static FleetProto.VersionTally encode(final VersionTally tally) {
        return FleetProto.VersionTally.newBuilder()
                .setService(tally.service())
                .setVersion(tally.version())
                .setRoute(tally.route())
                .setAnswers(tally.answers())
                .setFailures(tally.failures())
                .setTotalMs(tally.totalMs())
                .build();
    }

    private static VersionTally decode(final FleetProto.VersionTally tally) {
        return new VersionTally(
                tally.getService(),
                tally.getVersion(),
                tally.getRoute(),
                tally.getAnswers(),
                tally.getFailures(),
                tally.getTotalMs());
    }

    private static FleetProto.VersionMove encode(final VersionMove move) {
        return FleetProto.VersionMove.newBuilder()
                .setService(move.service())
                .setVersion(move.version())
                .setOrder(move.order())
                .setState(EnumCodec.encode(move.state()))
                .setSharePermille(move.sharePermille())
                .setDurationMs(move.durationMs())
                .setElapsedMs(move.elapsedMs())
                .setRecorded(move.recorded())
                .addAllVerdicts(move.verdicts().stream()
                        .map(verdict -> FleetProto.VersionVerdict.newBuilder()
                                .setVersion(verdict.version())
                                .setOrder(verdict.order())
                                .setRolledBack(verdict.rolledBack())
                                .build())
                        .toList())
                .build();
    }

    private static VersionMove decode(final FleetProto.VersionMove move) {
        return new VersionMove(
                move.getService(),
                move.getVersion(),
                move.getOrder(),
                EnumCodec.decode(MoveState.values(), move.getState()),
                move.getSharePermille(),
                move.getDurationMs(),
                move.getElapsedMs(),
                move.getRecorded(),
                move.getVerdictsList().stream()
                        .map(verdict ->
                                new VersionVerdict(verdict.getVersion(), verdict.getOrder(), verdict.getRolledBack()))
                        .toList());
    }
}
