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
 * Commits a configuration: writes the parts, then an immutable record, then swaps the head by one compare-and-swap.
 *
 * <p>A commit takes effect when the head is swapped. Parts and records that were written before have no effect and may
 * remain unused. A swap whose answer was lost is repeated with the same expected revision: a conflict then proves that
 * the earlier attempt either has taken effect or cannot take effect, and the chain of records shows which. Reading an
 * unchanged head would prove neither, as the lost write may arrive later.
 *
 * <p>Repeating a commit with the same commit id is safe: a commit id that is in the chain is not committed again.
 * Confined to one thread at a time.
 */
public final class ConfigurationCommitter {

    /** Number of records searched for the id of a repeated commit; more than the commits of an hour. */
    private static final int MAXIMUM_RECORDS_SEARCHED = 200;

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
     * @param clock the clock that gives each record its time, not null.
     * @param retries supplies each commit with a retry policy whose time budget starts at once, not null.
     * @return a new committer, never null.
     */
    public static ConfigurationCommitter of(final Store store, final Clock clock, final Supplier<StoreRetry> retries) {
        return new ConfigurationCommitter(store, clock, retries);
    }

    /**
     * Commits a configuration.
     *
     * @param request the configuration, not null.
     * @return the result, never null.
     * @throws ConfigurationException if the store holds a head or record that cannot be read, if the configuration is
     *     too large, if home groups change unsafely, or if the commit id was used for another configuration; nothing
     *     was committed.
     */
    public CommitResult commit(final CommitRequest request) throws ConfigurationException {
        Objects.requireNonNull(request, "request");
        StoreRetry retry = retries.get();
        long revision;
        CommitRecord record;
        try {
            Optional<StoredHead> head = retry.call(log::readHead);
            Optional<CommitRecord> current = readCurrent(head, retry);
            Optional<CommitResult> resultWithoutWriting = resolveWithoutWriting(request, current, retry);
            if (resultWithoutWriting.isPresent()) {
                return resultWithoutWriting.get();
            }
            revision = head.map(StoredHead::revision).orElse(Store.ABSENT_REVISION);
            checkHomeGroups(request, current, retry);
            writeMissingParts(request, current, retry);
            record = writeRecord(createRecord(request, current), retry);
        } catch (StoreException exception) {
            return resultWithoutAnswer(Outcome.NOT_COMMITTED, request.commitId(), exception);
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
                request.possiblyRepeated() ? findByCommitId(request.commitId(), current, retry) : Optional.empty();
        if (earlier.isPresent()) {
            return Optional.of(resultOfEarlierCommit(earlier.get(), request));
        }
        if (current.isPresent() && hasSameContent(current.get(), request)) {
            return Optional.of(result(Outcome.UNCHANGED, request.commitId(), current));
        }
        long version = current.map(CommitRecord::version).orElse(0L);
        return request.expectedVersion().orElse(version) == version
                ? Optional.empty()
                : Optional.of(result(Outcome.LOST_RACE, request.commitId(), current));
    }

    private Optional<CommitRecord> findByCommitId(
            final String commitId, final Optional<CommitRecord> newest, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        Optional<CommitRecord> record = newest;
        for (int searched = 0; searched < MAXIMUM_RECORDS_SEARCHED && record.isPresent(); searched++) {
            if (record.get().commitId().equals(commitId)) {
                return record;
            }
            String previous = record.get().previous();
            record = previous == null ? Optional.empty() : Optional.of(readRecord(previous, retry));
        }
        return Optional.empty();
    }

    /** Accepts an earlier record with the same commit id as this commit only if the content is the same. */
    private static CommitResult resultOfEarlierCommit(final CommitRecord found, final CommitRequest request)
            throws ConfigurationException {
        if (!hasSameContent(found, request)) {
            throw commitIdReused(found);
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
                writeIfAbsent(StoreKeys.CONFIGURATION_PARTS_PREFIX + digest, part, retry);
            }
        }
    }

    private CommitRecord writeRecord(final CommitRecord record, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        writeIfAbsent(record.key(), JsonCodec.write(record), retry);
        CommitRecord stored = readRecord(record.key(), retry);
        if (!stored.hasSameContent(record) || !Objects.equals(stored.previous(), record.previous())) {
            throw commitIdReused(stored);
        }
        return stored;
    }

    /** Writes a value whose content is determined by its key; an existing value is left unchanged. */
    private void writeIfAbsent(final String key, final byte[] value, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        if (value.length > Store.MAXIMUM_VALUE_BYTES) {
            throw new ConfigurationException("the value of '" + key + "' has " + value.length
                    + " bytes, more than the maximum of " + Store.MAXIMUM_VALUE_BYTES);
        }
        try {
            retry.call(() -> store.compareAndSwap(key, Store.ABSENT_REVISION, value));
        } catch (StoreConflictException conflict) {
            // An earlier commit or an earlier attempt wrote the value.
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
            return resultWithoutAnswer(outcome, record.commitId(), exception);
        }
    }

    /** After a conflict another swap of the head came first: the record with this version in the chain won. */
    private CommitResult resolveConflict(final CommitRecord attempted, final StoreRetry retry)
            throws ConfigurationException {
        try {
            CommitRecord winner = readCurrent(retry.call(log::readHead), retry)
                    .orElseThrow(
                            () -> new ConfigurationException("the head is missing from the store after a conflict"));
            while (winner.version() > attempted.version() && winner.previous() != null) {
                winner = readRecord(winner.previous(), retry);
            }
            return result(outcomeOfConflict(winner, attempted), attempted.commitId(), Optional.of(winner));
        } catch (StoreException exception) {
            return resultWithoutAnswer(Outcome.NOT_KNOWN, attempted.commitId(), exception);
        }
    }

    private static Outcome outcomeOfConflict(final CommitRecord winner, final CommitRecord attempted) {
        if (winner.commitId().equals(attempted.commitId())) {
            return Outcome.COMMITTED;
        }
        return winner.hasSameContent(attempted) ? Outcome.UNCHANGED : Outcome.LOST_RACE;
    }

    private CommitRecord createRecord(final CommitRequest request, final Optional<CommitRecord> current) {
        return new CommitRecord(
                current.map(CommitRecord::version).orElse(0L) + 1,
                request.commitId(),
                request.author(),
                clock.nowMs(),
                request.message(),
                current.map(CommitRecord::key).orElse(null),
                computeDigests(request),
                request.groups());
    }

    private static SortedMap<String, String> computeDigests(final CommitRequest request) {
        SortedMap<String, String> digests = new TreeMap<>();
        for (Map.Entry<String, ServiceConfiguration> service :
                request.services().entrySet()) {
            digests.put(service.getKey(), PartCodec.digest(service.getValue()));
        }
        return digests;
    }

    private static boolean hasSameContent(final CommitRecord record, final CommitRequest request) {
        return record.parts().equals(computeDigests(request)) && record.groups().equals(request.groups());
    }

    private CommitRecord readRecord(final String key, final StoreRetry retry)
            throws StoreException, ConfigurationException {
        return retry.call(() -> log.readRecord(key));
    }

    private static ConfigurationException commitIdReused(final CommitRecord record) {
        return new ConfigurationException(
                "commit id " + record.commitId() + " was already used for another configuration: version "
                        + record.version() + " by " + record.author());
    }

    private static CommitResult result(
            final Outcome outcome, final String commitId, final Optional<CommitRecord> record) {
        return new CommitResult(outcome, commitId, record, "");
    }

    private static CommitResult resultWithoutAnswer(
            final Outcome outcome, final String commitId, final StoreException exception) {
        return new CommitResult(outcome, commitId, Optional.empty(), exception.getMessage());
    }
}
