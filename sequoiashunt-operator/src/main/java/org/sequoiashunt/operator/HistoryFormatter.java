package org.sequoiashunt.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeSet;
import org.sequoiashunt.commit.CommitRecord;
import org.sequoiashunt.commit.MoveHistory;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.store.StoreException;

/**
 * Text of the history, built commit by commit. Confined to one thread.
 */
final class HistoryFormatter {

    private final StoreView view;
    private final CommitRecord current;
    private final Optional<String> onlyService;
    private final StringBuilder text = new StringBuilder();

    HistoryFormatter(final StoreView view, final CommitRecord current, final Optional<String> onlyService) {
        this.view = view;
        this.current = current;
        this.onlyService = onlyService;
    }

    /** Appends a commit; false if it did not change the one service asked for. */
    boolean append(final CommitRecord record, final Optional<CommitRecord> previous)
            throws StoreException, ConfigurationException {
        List<String> lines = new ArrayList<>();
        for (String service : changedServices(record, previous)) {
            if (onlyService.isEmpty() || onlyService.get().equals(service)) {
                describeService(service, record, previous, lines);
            }
        }
        if (onlyService.isPresent() && lines.isEmpty()) {
            return false;
        }
        if (onlyService.isEmpty()) {
            describeGroups(record, previous, lines);
        }
        text.append(text.length() == 0 ? "" : "\n").append(title(record)).append('\n');
        lines.forEach(line -> text.append("  ").append(line).append('\n'));
        return true;
    }

    private static String title(final CommitRecord record) {
        return "version " + record.version() + " by " + ValueFormatter.plain(record.author()) + " at "
                + ValueFormatter.time(record.atMs()) + " (commit id " + record.commitId() + "): "
                + ValueFormatter.plain(record.message());
    }

    private static SortedSet<String> changedServices(final CommitRecord record, final Optional<CommitRecord> previous) {
        SortedMap<String, String> after = record.parts();
        SortedSet<String> services = new TreeSet<>(after.keySet());
        previous.ifPresent(before -> {
            services.addAll(before.parts().keySet());
            services.removeIf(service -> Objects.equals(before.parts().get(service), after.get(service)));
        });
        return services;
    }

    private void describeService(
            final String service,
            final CommitRecord record,
            final Optional<CommitRecord> previous,
            final List<String> lines)
            throws StoreException, ConfigurationException {
        Optional<ServiceConfiguration> before =
                previous.isEmpty() ? Optional.empty() : view.service(previous.get(), service);
        Optional<ServiceConfiguration> after = view.service(record, service);
        ServiceDifference.describe(before, after).forEach(line -> lines.add(service + ": " + line));
        Optional<Move> begun = after.flatMap(ServiceConfiguration::move)
                .filter(move -> !before.flatMap(ServiceConfiguration::move).equals(Optional.of(move)));
        if (begun.isPresent()) {
            lines.add("move " + MoveFormatter.line(outcome(service, begun.get())));
            describeSteps(service, begun.get(), lines);
        }
    }

    /** The stages of a move are listed only when one service is asked for. */
    private void describeSteps(final String service, final Move move, final List<String> lines) throws StoreException {
        if (onlyService.isEmpty()) {
            return;
        }
        for (MoveHistory.Step step : view.steps(service, move)) {
            lines.add("  " + MoveFormatter.step(step));
        }
    }

    private MoveStatus outcome(final String service, final Move move) throws StoreException, ConfigurationException {
        MoveStatus status = view.move(service, move);
        Optional<Move> inForce = view.service(current, service).flatMap(ServiceConfiguration::move);
        return inForce.equals(Optional.of(move)) ? status : status.outOfForce();
    }

    private static void describeGroups(
            final CommitRecord record, final Optional<CommitRecord> previous, final List<String> lines) {
        SortedSet<String> names = new TreeSet<>(record.groups().keySet());
        previous.ifPresent(before -> names.addAll(before.groups().keySet()));
        for (String group : names) {
            List<String> before =
                    previous.map(present -> present.groups().get(group)).orElse(null);
            List<String> after = record.groups().get(group);
            if (after == null) {
                lines.add("group " + group + " removed");
            } else if (before == null) {
                lines.add("group " + group + " added: " + String.join(", ", after));
            } else if (!before.equals(after)) {
                lines.add("group " + group + " was " + String.join(", ", before) + ", is " + String.join(", ", after));
            }
        }
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
