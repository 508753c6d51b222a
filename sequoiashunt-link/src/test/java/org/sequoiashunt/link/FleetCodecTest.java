package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.fleet.ConfigurationCopy;
import org.sequoiashunt.fleet.ConfigurationRequest;
import org.sequoiashunt.fleet.CrashRecord;
import org.sequoiashunt.fleet.DepartureNotice;
import org.sequoiashunt.fleet.DepartureReceipt;
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
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.quota.QuotaGrant;
import org.sequoiashunt.quota.QuotaReport;
import org.sequoiashunt.target.TargetDeparture;

/** Encoding, size and validation of node reports and configuration copies. */
class FleetCodecTest {

    private static final List<TargetDeparture> DEPARTURES =
            List.of(new TargetDeparture("t-1", OptionalLong.of(7)), new TargetDeparture("t-2", OptionalLong.empty()));

    /** Two reports a second of this size to nine peers are 5.4 kB/s for each node. */
    private static final int MAXIMUM_REPORT_BYTES = 300;

    private final FleetCodec codec = new FleetCodec();

    private static NodeReport report() {
        return report(false);
    }

    private static NodeReport report(final boolean evacuationsUnknown) {
        TargetReport target = new TargetReport(
                "i-7f3a91c2",
                "desk",
                "v1",
                18,
                true,
                12,
                3,
                97,
                14,
                2_500,
                List.of(new RouteTime("look", 90), new RouteTime("take", 120)),
                0);
        return new NodeReport(
                "sidecar-ha-noi-a-1",
                2_442_266_426_549_510_700L,
                41,
                new NodeAddress("10.1.0.11", 7_560),
                "ha-noi-a",
                "bac-bo",
                600,
                true,
                12,
                OptionalLong.of(310),
                List.of(target),
                List.of(new VersionTally("desk", "v2", "look", 40, 2, 3_900)),
                List.of(VersionMove.of("desk", "v2", 77, MoveState.RUNNING, 150)
                        .withDuration(16_000)
                        .withElapsed(7_000)
                        .withVerdicts(List.of(new VersionVerdict("v0", 70, true)))
                        .asRecorded()),
                List.of(new CrashRecord("f00d", "i-1@7", 40), new CrashRecord("f00d", "", 0)),
                List.of(new KnownNode("sidecar-can-tho-b-1", new NodeAddress("10.4.0.26", 7_560), "can-tho-b")),
                List.of(),
                evacuationsUnknown);
    }

    @Test
    void decodesWhatItEncoded() throws InvalidProtocolBufferException {
        byte[] document = "{\"Version\":7}".repeat(1_000).getBytes(StandardCharsets.UTF_8);
        for (ControlMessage message : List.of(
                report(),
                report(true),
                new ReportBatch(List.of(new ReportBatch.RelayedReport(report(), 740))),
                new ReportBatch(List.of()),
                new ReportRequest(new NodeAddress("10.1.0.11", 7_560)),
                new ConfigurationRequest(new NodeAddress("10.1.0.11", 7_560), 3),
                new ConfigurationCopy(4, Body.of(document)),
                new DepartureNotice("n-1", DEPARTURES, Optional.of(new NodeAddress("10.1.0.11", 7_560))),
                new DepartureNotice("n-1", List.of(), Optional.empty()),
                new DepartureReceipt(DEPARTURES),
                new QuotaReport(
                        new NodeAddress("10.1.0.11", 7_560),
                        -5,
                        7,
                        6,
                        64,
                        true,
                        List.of(
                                new QuotaReport.Usage(-9, 44, 3, 81, List.of(1, 2, 3, 4, 5)),
                                new QuotaReport.Usage(9, 1, 0, 0, List.of()))),
                new QuotaGrant(-5, 7, 8, true, 500, List.of(new QuotaGrant.Allowance(-9, 50, 250, 81))))) {
            assertTrue(codec.handles(message));
            assertEquals(message, codec.decode(codec.encode(message)));
        }
    }

    @Test
    void aReportIsSmallAndADocumentCompressed() {
        int bytes = codec.encode(report()).size();
        assertTrue(bytes <= MAXIMUM_REPORT_BYTES, bytes + " bytes");
        assertEquals(bytes + 3, codec.encode(report(true)).size(), "what is not so takes no bytes");
        byte[] document = "{\"Version\":7}".repeat(1_000).getBytes(StandardCharsets.UTF_8);
        assertTrue(codec.encode(new ConfigurationCopy(4, Body.of(document))).size() < document.length / 10);
    }

    @Test
    void refusesDamagedBytesAndOversizedDocuments() {
        Random random = new Random(9);
        ReportBatch batch = new ReportBatch(List.of(new ReportBatch.RelayedReport(report(), 740)));
        refuseDamagedBytes(codec.encode(report()).toByteArray(), random);
        refuseDamagedBytes(codec.encode(batch).toByteArray(), random);
        assertThrows(
                IllegalArgumentException.class,
                () -> DocumentCompression.decompress(DocumentCompression.compress(Body.of(new byte[3 << 20]))),
                "a document larger than the limit");
    }

    private void refuseDamagedBytes(final byte[] complete, final Random random) {
        for (int round = 0; round < 3_000; round++) {
            byte[] damaged = complete.clone();
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
            try {
                codec.decode(ByteString.copyFrom(damaged));
            } catch (InvalidProtocolBufferException | RuntimeException expected) {
                assertTrue(
                        !(expected instanceof NullPointerException),
                        "a missing field must be refused by its record, not with a NullPointerException");
            }
        }
    }
}
