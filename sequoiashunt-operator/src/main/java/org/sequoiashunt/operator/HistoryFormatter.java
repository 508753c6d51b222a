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
 * Formats the commit history as text, one commit at a time. Confined to one thread.
 */
final class HistoryFormatter {

    private final StoreView view;
    private final CommitRecord current;
    private final Optional<String> serviceFilter;
    private final StringBuilder text = new StringBuilder();

    HistoryFormatter(final StoreView view, final CommitRecord current, final Optional<String> onlyService) {
        this.view = view;
        this.current = current;
        this.serviceFilter = onlyService;
    }

    /** Appends a commit; returns false, appending nothing, if a service filter is set and excludes the commit. */
    boolean append(final CommitRecord record, final Optional<CommitRecord> previous)
            throws StoreException, ConfigurationException {
        List<String> lines = new ArrayList<>();
        for (String service : findChangedServices(record, previous)) {
            if (serviceFilter.isEmpty() || serviceFilter.get().equals(service)) {
                describeService(service, record, previous, lines);
            }
        }
        if (serviceFilter.isPresent() && lines.isEmpty()) {
            return false;
        }
        if (serviceFilter.isEmpty()) {
            describeGroups(record, previous, lines);
        }
        text.append(text.length() == 0 ? "" : "\n").append(formatTitle(record)).append('\n');
        lines.forEach(line -> text.append("  ").append(line).append('\n'));
        return true;
    }

    private static String formatTitle(final CommitRecord record) {
        return "version " + record.version() + " by " + ValueFormatter.replaceControlCharacters(record.author())
                + " at "
                + ValueFormatter.formatTime(record.atMs()) + " (commit id " + record.commitId() + "): "
                + ValueFormatter.replaceControlCharacters(record.message());
    }

    private static SortedSet<String> findChangedServices(
            final CommitRecord record, final Optional<CommitRecord> previous) {
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
                previous.isEmpty() ? Optional.empty() : view.readService(previous.get(), service);
        Optional<ServiceConfiguration> after = view.readService(record, service);
        ServiceDifference.describe(before, after).forEach(line -> lines.add(service + ": " + line));
        Optional<Move> startedMove = after.flatMap(ServiceConfiguration::move)
                .filter(move -> !before.flatMap(ServiceConfiguration::move).equals(Optional.of(move)));
        if (startedMove.isPresent()) {
            lines.add("move " + MoveFormatter.formatStatus(readOutcome(service, startedMove.get())));
            describeSteps(service, startedMove.get(), lines);
        }
    }

    /** Lists the stages of a move, only if a service filter is set. */
    private void describeSteps(final String service, final Move move, final List<String> lines) throws StoreException {
        if (serviceFilter.isEmpty()) {
            return;
        }
        for (MoveHistory.Step step : view.readMoveSteps(service, move)) {
            lines.add("  " + MoveFormatter.formatStep(step));
        }
    }

    private MoveStatus readOutcome(final String service, final Move move)
            throws StoreException, ConfigurationException {
        MoveStatus status = view.readMoveStatus(service, move);
        Optional<Move> currentMove = view.readService(current, service).flatMap(ServiceConfiguration::move);
        return currentMove.equals(Optional.of(move)) ? status : status.asReplaced();
    }

    private static void describeGroups(
            final CommitRecord record, final Optional<CommitRecord> previous, final List<String> lines) {
        SortedSet<String> names = new TreeSet<>(record.groups().keySet());
        previous.ifPresent(before -> names.addAll(before.groups().keySet()));
        for (String group : names) {
            List<String> before =
                    previous.map(earlier -> earlier.groups().get(group)).orElse(null);
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
