package org.sequoiashunt.link;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.link.wire.EntryProto;

/** Converts the configuration to and from protobuf messages. Stateless and thread-safe. */
final class ConfigurationCodec {

    private ConfigurationCodec() {}

    static EntryProto.ConfigurationHead encode(final ConfigurationHead head) {
        return EntryProto.ConfigurationHead.newBuilder()
                .setVersion(head.version())
                .setCommitId(head.commitId())
                .addAllParts(encodeParts(head.parts()))
                .addAllGroups(encodeGroups(head.groups()))
                .build();
    }

    static ConfigurationHead decode(final EntryProto.ConfigurationHead head) {
        return new ConfigurationHead(
                head.getVersion(),
                head.getCommitId(),
                decodeParts(head.getPartsList()),
                decodeGroups(head.getGroupsList()));
    }

    static List<EntryProto.ConfigurationHead.Part> encodeParts(final SortedMap<String, String> parts) {
        return parts.entrySet().stream()
                .map(part -> EntryProto.ConfigurationHead.Part.newBuilder()
                        .setService(part.getKey())
                        .setDigest(part.getValue())
                        .build())
                .toList();
    }

    static SortedMap<String, String> decodeParts(final List<EntryProto.ConfigurationHead.Part> parts) {
        SortedMap<String, String> digests = new TreeMap<>();
        parts.forEach(part -> digests.put(part.getService(), part.getDigest()));
        return digests;
    }

    static List<EntryProto.ConfigurationHead.Group> encodeGroups(final SortedMap<String, List<String>> groups) {
        return groups.entrySet().stream()
                .map(group -> EntryProto.ConfigurationHead.Group.newBuilder()
                        .setName(group.getKey())
                        .addAllFailureDomains(group.getValue())
                        .build())
                .toList();
    }

    static SortedMap<String, List<String>> decodeGroups(final List<EntryProto.ConfigurationHead.Group> groups) {
        SortedMap<String, List<String>> failureDomains = new TreeMap<>();
        groups.forEach(group -> failureDomains.put(group.getName(), List.copyOf(group.getFailureDomainsList())));
        return failureDomains;
    }

    static EntryProto.ServiceConfiguration encode(final ServiceConfiguration service) {
        EntryProto.ServiceConfiguration.Builder builder = EntryProto.ServiceConfiguration.newBuilder()
                .setService(service.service())
                .setVersion(service.version())
                .addAllHomeGroups(service.homeGroups())
                .addAllFormerHomeGroups(service.formerHomeGroups());
        service.move().ifPresent(move -> builder.setMove(encode(move)));
        service.routes().forEach(route -> builder.addRoutes(encode(route)));
        return builder.build();
    }

    static ServiceConfiguration decode(final EntryProto.ServiceConfiguration service) {
        return new ServiceConfiguration(
                service.getService(),
                service.getVersion(),
                service.hasMove() ? Optional.of(decode(service.getMove())) : Optional.empty(),
                service.getRoutesList().stream().map(ConfigurationCodec::decode).toList(),
                service.getHomeGroupsList(),
                service.getFormerHomeGroupsList());
    }

    private static EntryProto.Move encode(final Move move) {
        return EntryProto.Move.newBuilder()
                .setFrom(move.from())
                .setTo(move.to())
                .setFinishByMs(move.finishByMs())
                .build();
    }

    private static Move decode(final EntryProto.Move move) {
        return new Move(move.getFrom(), move.getTo(), move.getFinishByMs());
    }

    private static EntryProto.Route encode(final Route route) {
        return EntryProto.Route.newBuilder()
                .setName(route.name())
                .setPathPrefix(route.pathPrefix())
                .addAllMethods(route.methods())
                .setIdempotent(route.idempotent())
                .setTimeoutMs(route.timeoutMs())
                .build();
    }

    private static Route decode(final EntryProto.Route route) {
        return new Route(
                route.getName(),
                route.getPathPrefix(),
                Set.copyOf(route.getMethodsList()),
                route.getIdempotent(),
                route.getTimeoutMs());
    }
}
