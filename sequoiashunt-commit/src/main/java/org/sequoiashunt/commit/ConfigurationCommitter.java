package org.sequoiashunt.commit;

import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.sequoiashunt.commit.CommitLog.StoredHead;
import org.sequoiashunt.commit.CommitResult.Outcome;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreConflictException;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoreKeys;
import org.sequoiashunt.time.Clock;

/**
 * Commits a configuration: parts first, then an immutable record, then one compare-and-swap of the head.
 *
 * <p>The head decides. Until it is swapped nothing that was written has an effect, and parts and records may stay
 * behind unused. A swap whose answer was lost is repeated with the same expected revision: a conflict then proves that
 * an earlier attempt cannot take effect any more, or has done so, and the chain of records tells which. A mere look at
 * an unchanged head would prove nothing, as the lost write may still arrive.
 *
 * <p>Repeating a commit with the same identity is safe: an identity that stands in the chain is not committed again.
 * Confined to one thread at a time.
 */
public final class ConfigurationCommitter {

    /** How many records are searched for the identity of a repeated commit; more than an hour's commits. */
    private static final int REPEAT_SEARCH_LENGTH = 200;

    private final Store store;
    private final CommitLog log;
    private final Clock clock;
    private final Supplier<StoreRetry> retries;

    private ConfigurationCommitter(final Store store, final Clock clock, final Supplier<StoreRetry> retries) {
        this.store = Objects.requireNonNull(store, "store");
        this.log = CommitLog.of(store);
        this.clock = Objects.requireNonNull(clock, "clock");
        this.retries = Objects.requireNonNull(retries, "retries");
    }

    /**
     * Creates a committer.
     *
     * @param store the store, not null.
     * @param clock the clock that dates the records, not null.
     * @param retries starts the time budget of each commit, not null.
     * @return a new committer, never null.
     */
    public static ConfigurationCommitter of(final Store store, final Clock clock, final Supplier<StoreRetry> retries) {
        return new ConfigurationCommitter(store, clock, retries);
    }

    /**
     * Commits a configuration.
     *
     * @param request the configuration, not null.
     * @return how it ended, never null.
     * @throws ConfigurationException if the store holds a head or record that cannot be read, if the configuration is
     *     too large, or if the identity was used for another configuration; nothing was committed.
     */
    public CommitResult commit(final CommitRequest request) throws ConfigurationException {
        Objects.requireNonNull(request, "request");
        StoreRetry retry = retries.get();
        long revision;
        CommitRecord record;
        try {
            Optional<StoredHead> head = retry.call(log::readHead);
            Optional<CommitRecord> current = readCurrent(head, retry);
            Optional<CommitResult> early = resolveWithoutWriting(request, current, retry);
            if (early.isPresent()) {
                return early.get();
            }
            revision = head.map(StoredHead::revision).orElse(Store.ABSENT_REVISION);
            checkHomeGroups(request, current, retry);
            writeMissingParts(request, current, retry);
            record = writeRecord(recordOf(request, current), retry);
        } catch (StoreException exception) {
            return unanswered(Outcome.NOT_COMMITTED, request.commitId(), exception);
        }
        return swapHead(record, revision, retry);
    }

    private void checkHomeGroups(
            final CommitRequest request, final Optional<CommitRecord> current, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        if (current.isPresent()) {
            new HomeGroupChangeValidator(log, clock.nowMs(), retry).check(current.get(), request.services());
        }
    }

    private Optional<CommitRecord> readCurrent(final Optional<StoredHead> head, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        return head.isEmpty()
                ? Optional.empty()
                : Optional.of(readRecord(head.get().document().record(), retry));
    }

    private Optional<CommitResult> resolveWithoutWriting(
            final CommitRequest request, final Optional<CommitRecord> current, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        Optional<CommitRecord> earlier =
                request.repeatable() ? findByIdentity(request.commitId(), current, retry) : Optional.empty();
        if (earlier.isPresent()) {
            return Optional.of(committed(earlier.get(), request));
        }
        if (current.isPresent() && hasSameContent(current.get(), request)) {
            return Optional.of(result(Outcome.UNCHANGED, request.commitId(), current));
        }
        long version = current.map(CommitRecord::version).orElse(0L);
        return request.expectedVersion().orElse(version) == version
                ? Optional.empty()
                : Optional.of(result(Outcome.LOST_RACE, request.commitId(), current));
    }

    private Optional<CommitRecord> findByIdentity(
            final String commitId, final Optional<CommitRecord> newest, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        Optional<CommitRecord> record = newest;
        for (int searched = 0; searched < REPEAT_SEARCH_LENGTH && record.isPresent(); searched++) {
            if (record.get().commitId().equals(commitId)) {
                return record;
            }
            String previous = record.get().previous();
            record = previous == null ? Optional.empty() : Optional.of(readRecord(previous, retry));
        }
        return Optional.empty();
    }

    /** An identity in the chain counts as this commit only if the content is the same. */
    private static CommitResult committed(final CommitRecord found, final CommitRequest request)
            throws ConfigurationException {
        if (!hasSameContent(found, request)) {
            throw usedBefore(found);
        }
        return result(Outcome.COMMITTED, request.commitId(), Optional.of(found));
    }

    private void writeMissingParts(
            final CommitRequest request, final Optional<CommitRecord> current, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        Set<String> present = new HashSet<>();
        current.ifPresent(record -> present.addAll(record.parts().values()));
        for (ServiceConfiguration service : request.services().values()) {
            byte[] part = PartCodec.write(service);
            String digest = PartCodec.digest(part);
            if (present.add(digest)) {
                writeOnce(StoreKeys.CONFIGURATION_PARTS_PREFIX + digest, part, retry);
            }
        }
    }

    private CommitRecord writeRecord(final CommitRecord record, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        writeOnce(record.key(), JsonCodec.write(record), retry);
        CommitRecord stored = readRecord(record.key(), retry);
        if (!stored.hasSameContent(record) || !Objects.equals(stored.previous(), record.previous())) {
            throw usedBefore(stored);
        }
        return stored;
    }

    /** Writes a value whose key decides its content; an existing one is left as it is. */
    private void writeOnce(final String key, final byte[] value, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        if (value.length > Store.MAXIMUM_VALUE_BYTES) {
            throw new ConfigurationException(
                    "'" + key + "' would take " + value.length + " bytes, more than " + Store.MAXIMUM_VALUE_BYTES);
        }
        try {
            retry.call(() -> store.compareAndSwap(key, Store.ABSENT_REVISION, value));
        } catch (StoreConflictException conflict) {
            // The value is there already, from an earlier commit or an earlier attempt.
            return;
        }
    }

    private CommitResult swapHead(final CommitRecord record, final long expectedRevision, final StoreRetry retry)
            throws ConfigurationException {
        byte[] head = JsonCodec.write(HeadDocument.of(record));
        try {
            retry.call(() -> store.compareAndSwap(StoreKeys.CONFIGURATION_HEAD_KEY, expectedRevision, head));
            return result(Outcome.COMMITTED, record.commitId(), Optional.of(record));
        } catch (StoreConflictException conflict) {
            return resolveConflict(record, retry);
        } catch (StoreException exception) {
            Outcome outcome = exception.mayHaveTakenEffect() ? Outcome.NOT_KNOWN : Outcome.NOT_COMMITTED;
            return unanswered(outcome, record.commitId(), exception);
        }
    }

    /** After a conflict the head has moved: the record that the chain holds at this version won. */
    private CommitResult resolveConflict(final CommitRecord own, final StoreRetry retry) throws ConfigurationException {
        try {
            CommitRecord winner = readCurrent(retry.call(log::readHead), retry)
                    .orElseThrow(() -> new ConfigurationException("the store has lost the head"));
            while (winner.version() > own.version() && winner.previous() != null) {
                winner = readRecord(winner.previous(), retry);
            }
            return result(outcomeAgainst(winner, own), own.commitId(), Optional.of(winner));
        } catch (StoreException exception) {
            return unanswered(Outcome.NOT_KNOWN, own.commitId(), exception);
        }
    }

    private static Outcome outcomeAgainst(final CommitRecord winner, final CommitRecord own) {
        if (winner.commitId().equals(own.commitId())) {
            return Outcome.COMMITTED;
        }
        return winner.hasSameContent(own) ? Outcome.UNCHANGED : Outcome.LOST_RACE;
    }

    private CommitRecord recordOf(final CommitRequest request, final Optional<CommitRecord> current) {
        return new CommitRecord(
                current.map(CommitRecord::version).orElse(0L) + 1,
                request.commitId(),
                request.author(),
                clock.nowMs(),
                request.message(),
                current.map(CommitRecord::key).orElse(null),
                digests(request),
                request.groups());
    }

    private static SortedMap<String, String> digests(final CommitRequest request) {
        SortedMap<String, String> digests = new TreeMap<>();
        for (Map.Entry<String, ServiceConfiguration> service :
                request.services().entrySet()) {
            digests.put(service.getKey(), PartCodec.digest(service.getValue()));
        }
        return digests;
    }

    private static boolean hasSameContent(final CommitRecord record, final CommitRequest request) {
        return record.parts().equals(digests(request)) && record.groups().equals(request.groups());
    }

    private CommitRecord readRecord(final String key, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        return retry.call(() -> log.readRecord(key));
    }

    private static ConfigurationException usedBefore(final CommitRecord record) {
        return new ConfigurationException("commit id " + record.commitId()
                + " was used for another configuration: version " + record.version() + " by " + record.author());
    }

    private static CommitResult result(
            final Outcome outcome, final String commitId, final Optional<CommitRecord> record) {
        return new CommitResult(outcome, commitId, record, "");
    }

    private static CommitResult unanswered(
            final Outcome outcome, final String commitId, final StoreException exception) {
        return new CommitResult(outcome, commitId, Optional.empty(), exception.getMessage());
    }
}
