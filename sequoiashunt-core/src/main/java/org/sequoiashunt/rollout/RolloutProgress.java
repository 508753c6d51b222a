package org.sequoiashunt.rollout;

import java.util.Objects;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;

/**
 * Stage and share of one move. The entry's name is the identity of the move.
 *
 * <p>Immutable and thread-safe. Invariant: the share is from 0 to 1,000,000.
 *
 * @param move the identity of the move.
 * @param service the service whose traffic moves.
 * @param stage the stage.
 * @param shareParts the share of the new version, in parts per million.
 * @param reason one plain sentence for operators: what was seen.
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
     * Returns this move as taken back: no share, and the evidence in the reason.
     *
     * @param evidence what was seen, part of a sentence, not null.
     * @return the progress, never null.
     */
    public RolloutProgress takenBack(final String evidence) {
        String sentence = "taken back at " + ShareFormatter.percent(shareParts) + ": " + evidence;
        return new RolloutProgress(move, service, Stage.TAKEN_BACK, 0, sentence);
    }

    @Override
    public Section section() {
        return Section.ROLLOUT;
    }
}
