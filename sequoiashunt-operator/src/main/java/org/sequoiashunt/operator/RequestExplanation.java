package org.sequoiashunt.operator;

import java.util.Optional;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.rollout.RolloutProgress;

/**
 * Explains how a service configuration routes one request. Immutable and thread-safe.
 */
final class RequestExplanation {

    private final ServiceConfiguration service;
    private final String method;
    private final String path;
    private final Optional<Route> route;

    RequestExplanation(final ServiceConfiguration service, final String method, final String path) {
        this.service = service;
        this.method = method;
        this.path = path;
        this.route = service.routes().stream()
                .filter(candidate -> candidate.matches(method, path))
                .findFirst();
    }

    boolean hasMatchingRoute() {
        return route.isPresent();
    }

    String describeRequest() {
        return ValueFormatter.replaceControlCharacters(method + " " + path) + " of " + service.service();
    }

    String describeMismatch() {
        StringBuilder text = new StringBuilder("  no route matches: the caller gets status 404, not run\n");
        service.routes().forEach(candidate -> appendMismatch(text, candidate));
        return text.toString();
    }

    String describe(final Optional<MoveStatus> progress) {
        Route matched = route.orElseThrow();
        StringBuilder text = new StringBuilder();
        appendLine(
                text,
                "route " + matched.name() + ": the first whose methods and path match, "
                        + ServiceDifference.formatMatch(matched));
        service.routes().stream()
                .takeWhile(candidate -> candidate != matched)
                .forEach(candidate -> appendMismatch(text, candidate));
        appendVersions(text, progress);
        appendLine(
                text,
                "target: nearest first, own failure domain, then region, then the other;"
                        + " the less loaded of two picked at random");
        appendLine(text, "timeout: " + matched.timeoutMs() + " ms for the whole call");
        appendLine(text, "idempotent: " + describeIdempotence(matched));
        appendLine(text, "home groups: " + describeHomeGroups());
        return text.toString();
    }

    private void appendMismatch(final StringBuilder text, final Route candidate) {
        boolean wrongMethod = !candidate.methods().contains(method);
        String reason = wrongMethod ? "has another method" : "has another path";
        appendLine(
                text,
                "not route " + candidate.name() + ": " + reason + ", " + ServiceDifference.formatMatch(candidate));
    }

    private void appendVersions(final StringBuilder text, final Optional<MoveStatus> progress) {
        if (service.move().isEmpty()) {
            appendLine(text, "version: " + service.version() + ", as no move is under way");
            return;
        }
        Move move = service.move().get();
        if (progress.isEmpty()) {
            appendLine(
                    text,
                    "version: " + move.from() + " at first, then " + move.to()
                            + " by growing shares; name the store to see where the move stands");
            return;
        }
        boolean readable = progress.get().state() != MoveStatus.State.UNREADABLE;
        String versions = describeVersions(move, progress.get().newVersionShareParts());
        appendLine(text, "version: " + (readable ? versions : "not known"));
        appendLine(text, "move: " + MoveFormatter.formatStatus(progress.get()));
    }

    private static String describeVersions(final Move move, final int share) {
        if (share == 0) {
            return move.from();
        }
        if (share == RolloutProgress.WHOLE_SHARE_PARTS) {
            return move.to();
        }
        return move.to() + " for " + ValueFormatter.formatShare(share) + ", " + move.from() + " for "
                + ValueFormatter.formatShare(RolloutProgress.WHOLE_SHARE_PARTS - share);
    }

    private static String describeIdempotence(final Route route) {
        return route.idempotent()
                ? "yes, so a failed attempt may be repeated on another target"
                : "no, so an attempt is repeated only if it was surely not run";
    }

    private String describeHomeGroups() {
        return service.homeGroups().isEmpty()
                ? "none, so idempotency keys are not honoured"
                : String.join(", ", service.homeGroups()) + "; a key names its group or is spread over them";
    }

    private static void appendLine(final StringBuilder text, final String line) {
        text.append("  ").append(line).append('\n');
    }
}
