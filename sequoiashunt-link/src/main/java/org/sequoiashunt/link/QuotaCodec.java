package org.sequoiashunt.link;

import org.sequoiashunt.link.wire.FleetProto;
import org.sequoiashunt.quota.QuotaGrant;
import org.sequoiashunt.quota.QuotaReport;

/** Codec of reports and grants of limited requests. Not instantiable; thread-safe. */
final class QuotaCodec {

    private QuotaCodec() {}

    static FleetProto.QuotaReport encode(final QuotaReport report) {
        FleetProto.QuotaReport.Builder builder = FleetProto.QuotaReport.newBuilder()
                .setReplyTo(MemberCodec.encode(report.replyTo()))
                .setSession(report.session())
                .setSequence(report.sequence())
                .setGrantSequence(report.grantSequence())
                .setNodes(report.nodes())
                .setLeaving(report.leaving());
        report.usages()
                .forEach(usage -> builder.addUsages(FleetProto.QuotaUsage.newBuilder()
                        .setOrganisation(usage.organisation())
                        .setAdmitted(usage.admitted())
                        .setRefused(usage.refused())
                        .setFillPercent(usage.fillPercent())
                        .addAllEarlier(usage.earlier())));
        return builder.build();
    }

    static QuotaReport decode(final FleetProto.QuotaReport report) {
        return new QuotaReport(
                MemberCodec.decode(report.getReplyTo()),
                report.getSession(),
                report.getSequence(),
                report.getGrantSequence(),
                report.getNodes(),
                report.getLeaving(),
                report.getUsagesList().stream()
                        .map(usage -> new QuotaReport.Usage(
                                usage.getOrganisation(),
                                usage.getAdmitted(),
                                usage.getRefused(),
                                usage.getFillPercent(),
                                usage.getEarlierList()))
                        .toList());
    }

    static FleetProto.QuotaGrant encode(final QuotaGrant grant) {
        FleetProto.QuotaGrant.Builder builder = FleetProto.QuotaGrant.newBuilder()
                .setSession(grant.session())
                .setReportSequence(grant.reportSequence())
                .setSequence(grant.sequence())
                .setKnown(grant.known())
                .setPeriodMs(grant.periodMs());
        grant.allowances()
                .forEach(allowance -> builder.addAllowances(FleetProto.QuotaAllowance.newBuilder()
                        .setOrganisation(allowance.organisation())
                        .setCeiling(allowance.ceiling())
                        .setWaitMs(allowance.waitMs())
                        .setFillPercent(allowance.fillPercent())));
        return builder.build();
    }

    static QuotaGrant decode(final FleetProto.QuotaGrant grant) {
        return new QuotaGrant(
                grant.getSession(),
                grant.getReportSequence(),
                grant.getSequence(),
                grant.getKnown(),
                grant.getPeriodMs(),
                grant.getAllowancesList().stream()
                        .map(allowance -> new QuotaGrant.Allowance(
                                allowance.getOrganisation(),
                                allowance.getCeiling(),
                                allowance.getWaitMs(),
                                allowance.getFillPercent()))
                        .toList());
    }
}
