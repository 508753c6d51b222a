package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.execution.ClaimKey;
import org.sequoiashunt.execution.ClaimOutcome;
import org.sequoiashunt.execution.ClaimRelease;
import org.sequoiashunt.execution.ClaimReply;
import org.sequoiashunt.execution.ClaimRequest;
import org.sequoiashunt.execution.ClaimVerdict;
import org.sequoiashunt.execution.GuardHeartbeat;
import org.sequoiashunt.execution.GuardHeartbeatReply;
import org.sequoiashunt.execution.Roster;
import org.sequoiashunt.execution.RosterNotice;
import org.sequoiashunt.link.wire.FrameProto.Control;
import org.sequoiashunt.membership.IndirectProbe;
import org.sequoiashunt.membership.JoinAnswer;
import org.sequoiashunt.membership.JoinRequest;
import org.sequoiashunt.membership.Probe;
import org.sequoiashunt.membership.ProbeAnswer;
import org.sequoiashunt.membership.StatusReport;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.replication.BucketDigests;
import org.sequoiashunt.replication.BucketStamps;
import org.sequoiashunt.replication.Deliver;
import org.sequoiashunt.replication.EntryStamp;
import org.sequoiashunt.replication.HeadDelta;
import org.sequoiashunt.replication.Offer;
import org.sequoiashunt.replication.Pull;
import org.sequoiashunt.replication.RangeDigest;
import org.sequoiashunt.replication.RangeDigests;

/** Control messages are unchanged after encoding and decoding; invalid payloads are refused. */
class MessageCodecTest {

    private static final NodeAddress ADDRESS = new NodeAddress("127.0.0.2", 65_535);
    private final MessageCodec codec = MessageCodec.standard();

    static Stream<ControlMessage> replication() {
        EntryKey key = EntryKey.of(Section.DEPARTURE, "node");
        List<EntryStamp> stamps = List.of(new EntryStamp(key, EntryVersion.of(Long.MIN_VALUE, 2), "writer"));
        List<Entry> entries = EntryCodecTest.values()
                .map(value -> Entry.of("name", "writer", EntryVersion.of(1, 2), value))
                .toList();
        return Stream.of(
                new Offer(stamps, ADDRESS),
                new Pull(List.of(key), 5, ADDRESS),
                new Deliver(entries, ADDRESS),
                new HeadDelta(
                        4,
                        5,
                        "commit",
                        new TreeMap<>(Map.of("s", "d")),
                        List.of("gone"),
                        new TreeMap<>(Map.of("g", List.of("thimi"))),
                        "writer",
                        ADDRESS),
                new RangeDigests(List.of(new RangeDigest(Section.EVIDENCE, "s", -1)), "thimi", ADDRESS),
                new BucketDigests(Section.MEMBER, "", List.of(-1L, 0L, 1L, Long.MAX_VALUE), ADDRESS),
                new BucketStamps(Section.MEMBER, "", 16, List.of(0, 15), stamps, ADDRESS));
    }

    static Stream<ControlMessage> membership() {
        return Stream.of(
                new Probe(-1, ADDRESS),
                new IndirectProbe(1, "member", new NodeAddress("::1", 1), ADDRESS),
                new ProbeAnswer(1, "member"),
                new JoinRequest(ADDRESS),
                new JoinAnswer(true, false, 7),
                new JoinAnswer(false, true, 0),
                new StatusReport(3, "why"));
    }

    static Stream<ControlMessage> claims() {
        ClaimKey key = new ClaimKey(-1, Long.MAX_VALUE);
        CallResult answered = LinkFixture.answer(Body.of(new byte[] {1, 0, -1}));
        CallResult refused = CallResult.unknown(Reason.DEADLINE).withLoad(2);
        return Stream.of(
                new ClaimRequest("g", 2, key, "attempt", -3),
                new ClaimReply("g", 2, key, "attempt", ClaimVerdict.GRANTED, Optional.empty()),
                new ClaimReply("g", 2, key, "attempt", ClaimVerdict.HELD_DONE, Optional.of(answered)),
                new ClaimOutcome("g", key, "attempt", refused),
                new ClaimRelease("g", key, "attempt"),
                new GuardHeartbeat("g", 1, Long.MAX_VALUE),
                new GuardHeartbeatReply("g", 1, 5),
                new RosterNotice(new Roster("g", 3, List.of("x", "y"))));
    }

    @ParameterizedTest
    @MethodSource({"replication", "membership", "claims"})
    void decodesWhatItEncoded(final ControlMessage message) throws Exception {
        byte[] bytes = codec.encode(message).toByteArray();
        assertEquals(message, codec.decode(Control.parseFrom(bytes)));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void refusesAnEmptyMessageOfEachSubject(final int subject) {
        Control control = Control.newBuilder().setSubject(subject).build();
        LinkProtocolException refused = assertThrows(LinkProtocolException.class, () -> codec.decode(control));
        assertEquals(Refusal.MALFORMED_CONTROL, refused.refusal());
    }

    @Test
    void aTruncatedMessageIsRefused() {
        for (ControlMessage message : everyMessage()) {
            Control complete = codec.encode(message);
            ByteString truncated =
                    complete.getPayload().substring(0, complete.getPayload().size() - 1);
            Control control = complete.toBuilder().setPayload(truncated).build();
            assertThrows(LinkProtocolException.class, () -> codec.decode(control), message::toString);
        }
    }

    @Test
    void everyMessageOfTheCoreHasACodec() {
        List<Class<?>> types = new ArrayList<>();
        everyMessage().forEach(message -> types.add(message.getClass()));
        assertEquals(20, types.stream().distinct().count());
    }

    private static List<ControlMessage> everyMessage() {
        return Stream.of(replication(), membership(), claims())
                .flatMap(messages -> messages)
                .toList();
    }
}
