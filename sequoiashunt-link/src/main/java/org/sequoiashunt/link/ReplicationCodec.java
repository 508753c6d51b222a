package org.sequoiashunt.link;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.link.wire.ReplicationProto;
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

/** Codec of the control messages of replication. Stateless and thread-safe. */
public final class ReplicationCodec implements ControlCodec {

    private static final int SUBJECT = 1;

    @Override
    public int subject() {
        return SUBJECT;
    }

    @Override
    public boolean handles(final ControlMessage message) {
        return message instanceof Offer
                || message instanceof Pull
                || message instanceof Deliver
                || message instanceof HeadDelta
                || message instanceof RangeDigests
                || message instanceof BucketDigests
                || message instanceof BucketStamps;
    }

    @Override
    public ByteString encode(final ControlMessage message) {
        ReplicationProto.Replication.Builder builder = ReplicationProto.Replication.newBuilder();
        if (message instanceof Offer offer) {
            builder.setReplyTo(MemberCodec.encode(offer.replyTo())).setOffer(encode(offer));
        } else if (message instanceof Pull pull) {
            builder.setReplyTo(MemberCodec.encode(pull.replyTo())).setPull(encode(pull));
        } else if (message instanceof Deliver deliver) {
            builder.setReplyTo(MemberCodec.encode(deliver.replyTo())).setDeliver(encode(deliver));
        } else if (message instanceof HeadDelta delta) {
            builder.setReplyTo(MemberCodec.encode(delta.replyTo())).setHeadDelta(encode(delta));
        } else if (message instanceof RangeDigests digests) {
            builder.setReplyTo(MemberCodec.encode(digests.replyTo())).setRangeDigests(encode(digests));
        } else if (message instanceof BucketDigests digests) {
            builder.setReplyTo(MemberCodec.encode(digests.replyTo())).setBucketDigests(encode(digests));
        } else {
            BucketStamps stamps = (BucketStamps) message;
            builder.setReplyTo(MemberCodec.encode(stamps.replyTo())).setBucketStamps(encode(stamps));
        }
        return builder.build().toByteString();
    }

    @Override
    public ControlMessage decode(final ByteString payload) throws InvalidProtocolBufferException {
        ReplicationProto.Replication message = ReplicationProto.Replication.parseFrom(payload);
        NodeAddress replyTo = MemberCodec.decode(message.getReplyTo());
        return switch (message.getContentCase()) {
            case OFFER -> decode(message.getOffer(), replyTo);
            case PULL -> decode(message.getPull(), replyTo);
            case DELIVER -> decode(message.getDeliver(), replyTo);
            case HEAD_DELTA -> decode(message.getHeadDelta(), replyTo);
            case RANGE_DIGESTS -> decode(message.getRangeDigests(), replyTo);
            case BUCKET_DIGESTS -> decode(message.getBucketDigests(), replyTo);
            case BUCKET_STAMPS -> decode(message.getBucketStamps(), replyTo);
            default ->
                throw new IllegalArgumentException("replication payload has no message or one of an unknown type");
        };
    }

    private static ReplicationProto.Offer encode(final Offer offer) {
        ReplicationProto.Offer.Builder builder = ReplicationProto.Offer.newBuilder();
        offer.stamps().forEach(stamp -> builder.addStamps(encode(stamp)));
        return builder.build();
    }

    private static Offer decode(final ReplicationProto.Offer offer, final NodeAddress replyTo) {
        return new Offer(
                offer.getStampsList().stream().map(ReplicationCodec::decode).toList(), replyTo);
    }

    private static ReplicationProto.Pull encode(final Pull pull) {
        ReplicationProto.Pull.Builder builder =
                ReplicationProto.Pull.newBuilder().setHeadVersion(pull.headVersion());
        pull.keys().forEach(key -> builder.addKeys(EntryCodec.encode(key)));
        return builder.build();
    }

    private static Pull decode(final ReplicationProto.Pull pull, final NodeAddress replyTo) {
        return new Pull(pull.getKeysList().stream().map(EntryCodec::decode).toList(), pull.getHeadVersion(), replyTo);
    }

    private static ReplicationProto.Deliver encode(final Deliver deliver) {
        ReplicationProto.Deliver.Builder builder = ReplicationProto.Deliver.newBuilder();
        deliver.entries().forEach(entry -> builder.addEntries(EntryCodec.encode(entry)));
        return builder.build();
    }

    private static Deliver decode(final ReplicationProto.Deliver deliver, final NodeAddress replyTo) {
        return new Deliver(
                deliver.getEntriesList().stream().map(EntryCodec::decode).toList(), replyTo);
    }

    private static ReplicationProto.HeadDelta encode(final HeadDelta delta) {
        return ReplicationProto.HeadDelta.newBuilder()
                .setBaseVersion(delta.baseVersion())
                .setVersion(delta.version())
                .setCommitId(delta.commitId())
                .addAllChangedParts(ConfigurationCodec.encodeParts(delta.changedParts()))
                .addAllRemovedServices(delta.removedServices())
                .addAllGroups(ConfigurationCodec.encodeGroups(delta.groups()))
                .setWriter(delta.writer())
                .build();
    }

    private static HeadDelta decode(final ReplicationProto.HeadDelta delta, final NodeAddress replyTo) {
        return new HeadDelta(
                delta.getBaseVersion(),
                delta.getVersion(),
                delta.getCommitId(),
                ConfigurationCodec.decodeParts(delta.getChangedPartsList()),
                delta.getRemovedServicesList(),
                ConfigurationCodec.decodeGroups(delta.getGroupsList()),
                delta.getWriter(),
                replyTo);
    }

    private static ReplicationProto.RangeDigests encode(final RangeDigests digests) {
        ReplicationProto.RangeDigests.Builder builder =
                ReplicationProto.RangeDigests.newBuilder().setFailureDomain(digests.failureDomain());
        digests.ranges()
                .forEach(range -> builder.addRanges(ReplicationProto.RangeDigest.newBuilder()
                        .setSection(EnumCodec.encode(range.section()))
                        .setService(range.service())
                        .setHash(range.hash())));
        return builder.build();
    }

    private static RangeDigests decode(final ReplicationProto.RangeDigests digests, final NodeAddress replyTo) {
        return new RangeDigests(
                digests.getRangesList().stream()
                        .map(range -> new RangeDigest(section(range.getSection()), range.getService(), range.getHash()))
                        .toList(),
                digests.getFailureDomain(),
                replyTo);
    }

    private static ReplicationProto.BucketDigests encode(final BucketDigests digests) {
        return ReplicationProto.BucketDigests.newBuilder()
                .setSection(EnumCodec.encode(digests.section()))
                .setService(digests.service())
                .addAllHashes(digests.hashes())
                .build();
    }

    private static BucketDigests decode(final ReplicationProto.BucketDigests digests, final NodeAddress replyTo) {
        return new BucketDigests(section(digests.getSection()), digests.getService(), digests.getHashesList(), replyTo);
    }

    private static ReplicationProto.BucketStamps encode(final BucketStamps stamps) {
        ReplicationProto.BucketStamps.Builder builder = ReplicationProto.BucketStamps.newBuilder()
                .setSection(EnumCodec.encode(stamps.section()))
                .setService(stamps.service())
                .setBucketCount(stamps.bucketCount())
                .addAllBuckets(stamps.buckets());
        stamps.stamps().forEach(stamp -> builder.addStamps(encode(stamp)));
        return builder.build();
    }

    private static BucketStamps decode(final ReplicationProto.BucketStamps stamps, final NodeAddress replyTo) {
        return new BucketStamps(
                section(stamps.getSection()),
                stamps.getService(),
                stamps.getBucketCount(),
                stamps.getBucketsList(),
                stamps.getStampsList().stream().map(ReplicationCodec::decode).toList(),
                replyTo);
    }

    private static ReplicationProto.EntryStamp encode(final EntryStamp stamp) {
        return ReplicationProto.EntryStamp.newBuilder()
                .setKey(EntryCodec.encode(stamp.key()))
                .setVersion(EntryCodec.encode(stamp.version()))
                .setWriter(stamp.writer())
                .build();
    }

    private static EntryStamp decode(final ReplicationProto.EntryStamp stamp) {
        return new EntryStamp(
                EntryCodec.decode(stamp.getKey()), EntryCodec.decode(stamp.getVersion()), stamp.getWriter());
    }

    private static Section section(final int code) {
        return EnumCodec.decode(Section.values(), code);
    }
}
