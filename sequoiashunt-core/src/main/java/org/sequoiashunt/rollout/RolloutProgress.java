package org.sequoiashunt.rollout;

import java.util.Objects;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;

/**
 * Stage of one move and share of requests that its new version gets. The name of the entry is the identity of the
 * move.
 *
 * <p>Immutable and thread-safe. Invariant: the share is from 0 to 1,000,000.
 *
 * @param move the identity of the move.
 * @param service the service whose traffic moves.
 * @param stage the stage of the move.
 * @param shareParts the share of the new version in parts per million, from 0 to {@link #WHOLE_SHARE_PARTS}.
 * @param reason one plain sentence for operators that says what led to this progress.
 */
public record RolloutProgress(String move, String service, Stage stage, int shareParts, String reason)
        implements EntryValue {

    /** The whole of a service's traffic, in parts per million. */
    public static final int WHOLE_SHARE_PARTS = 1_000_000;

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the share is out of range.
     */
    public RolloutProgress {
        Objects.requireNonNull(move, "move");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(stage, "stage");
        Objects.requireNonNull(reason, "reason");
        if (shareParts < 0 || shareParts > WHOLE_SHARE_PARTS) {
            throw new IllegalArgumentException("shareParts out of range: " + shareParts);
        }
    }

    /**
     * Returns the version of the entry that holds this progress: rank of the stage, then share.
     *
     * @return the version, never null.
     */
    public EntryVersion entryVersion() {
        return EntryVersion.of(stage.rank(), shareParts);
    }

    /**
     * Returns the progress of this move after a rollback: share zero, with the explanation in the reason.
     *
     * @param explanation why the move is rolled back, part of a sentence, not null.
     * @return the progress, never null.
     */
    public RolloutProgress rolledBack(final String explanation) {
        String rollbackReason = "taken back at " + ShareFormatter.formatPercent(shareParts) + ": " + explanation;
        return new RolloutProgress(move, service, Stage.TAKEN_BACK, 0, rollbackReason);
    }

    @Override
    public Section section() {
        return Section.ROLLOUT;
    }
}
