package org.sequoiashunt.node.mesh;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.HeaderField;

/** How a request to a {@link StutteringTarget} may end with what is not the whole answer of its own run. Immutable. */
enum AnswerViolation {
    /** The status of another answer beside the signature of this run. */
    STATUS_OF_ANOTHER_ANSWER,
    /** The signature or the identity of another run. */
    ANSWER_OF_ANOTHER_RUN,
    /** The body is not the one of this run. */
    BODY_OF_ANOTHER_ANSWER,
    /** Fields that this run's answer does not have. */
    FIELDS_OF_ANOTHER_ANSWER,
    /** The answer was never written whole. */
    CUT_ANSWER,
    /** The head contradicts itself, or has lines that are no field. */
    MALFORMED_ANSWER,
    /** An answer to a request that the target never read. */
    ANSWER_WITHOUT_RUN,
    /** A success that no target has signed. */
    SUCCESS_WITHOUT_SIGNATURE,
    /** The promise that a request has not run, which ran. */
    NOT_RUN_BUT_RAN,
    /** The promise that a request has not run, whose refusal was not written whole. */
    NOT_RUN_WITHOUT_WHOLE_REFUSAL,
    /** One attempt that the target read more often than allowed. */
    SENT_TOO_OFTEN,
    /** A request that has not ended after its deadline. */
    ENDED_LATE,
    /** Bytes for the caller that are no answer, or that come without a request. */
    NO_ANSWER_IN_THE_PROTOCOL;

    static final int LOWEST_REDIRECT_STATUS = 300;
    private static final int LOWEST_FAILURE_STATUS = 400;

    /**
     * Returns what is wrong with an answer that is delivered for a run.
     *
     * @param addedFields the names of the fields that a node sets anew on the way to the caller.
     */
    static Optional<AnswerViolation> ofAnswer(
            final CallResponse response, final StutteringTarget.Run run, final Set<String> addedFields) {
        TargetAnswer answer = run.answer();
        MeshHeaders names = StutteringTarget.HEADER_NAMES;
        if (!valuesOf(response, names.signature()).contains(answer.signature())
                || !valuesOf(response, names.requestId()).contains(answer.identity())) {
            return Optional.of(ANSWER_OF_ANOTHER_RUN);
        }
        if (response.status() != answer.status()) {
            return Optional.of(STATUS_OF_ANOTHER_ANSWER);
        }
        if (!Arrays.equals(response.body().bytes(), TargetAnswer.encode(answer.body()))) {
            return Optional.of(BODY_OF_ANOTHER_ANSWER);
        }
        if (!run.whole()) {
            return Optional.of(CUT_ANSWER);
        }
        if (!answer.isAcceptable()) {
            return Optional.of(MALFORMED_ANSWER);
        }
        List<String> lines = new ArrayList<>(answer.head().lines().toList());
        for (HeaderField field : response.headers()) {
            boolean written = lines.remove(field.name() + ": " + field.value());
            boolean unfolded = field.name().equals(TargetAnswer.NOTE_FIELD);
            if (!written && !unfolded && !addedFields.contains(field.name())) {
                return Optional.of(FIELDS_OF_ANOTHER_ANSWER);
            }
        }
        return Optional.empty();
    }

    /** Returns what is wrong with the promise that a request has not run, of which the target has read an attempt. */
    static Optional<AnswerViolation> ofPromise(final StutteringTarget.Run run) {
        if (!run.answer().isRefusal()) {
            return Optional.of(NOT_RUN_BUT_RAN);
        }
        return run.whole() && run.answer().isAcceptable()
                ? Optional.empty()
                : Optional.of(NOT_RUN_WITHOUT_WHOLE_REFUSAL);
    }

    /** Returns whether a success is delivered where the answer that is due is a failure. */
    static boolean isSuccessForFailure(final CallResponse response, final StutteringTarget.Run run) {
        return response.status() < LOWEST_REDIRECT_STATUS && run.answer().status() >= LOWEST_FAILURE_STATUS;
    }

    static List<String> valuesOf(final CallResponse response, final String name) {
        return response.headers().stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .toList();
    }
}
